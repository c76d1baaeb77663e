#include "../Observability/Log.h"
#include "ControlPlane.h"
#include "PackedText.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Key of the operator's latest configuration. */
constexpr std::string_view kConfigurationKey = "config";

} // namespace

auto ControlPlane::IsOfInterest(StoreTable aTable, StoreRow& aRow) -> bool
{
  switch (aTable) {
    case StoreTable::Configuration:
      if (aRow.key_ == kConfigurationKey) {
        return true;
      }
      aRow.value_.clear();
      return codec_.EvacuatedZone(aRow.key_).has_value();
    case StoreTable::Engines:
      return engines_.Retain(aRow, clock_.Now());
    case StoreTable::Hosts:
      return !PeerAddressOf(aRow).empty();
    case StoreTable::HeldRequests:
    case StoreTable::StreamVersions:
    case StoreTable::Streams:
      break;
  }
  return true;
}

auto ControlPlane::OnStoreReply(StoreTable aTable, const StoreReply& aReply)
  -> bool
{
  auto& followed = FollowedOf(aTable);
  const auto answering = aReply.end_ == StoreOutcome::Done ||
                         aReply.end_ == StoreOutcome::HistoryDropped;
  if (answering != followed.answering_) {
    followed.answering_ = answering;
    Log::Write(answering ? LogLevel::Info : LogLevel::Warning,
               answering ? "store_regained" : "store_lost",
               { { "table", ToString(aTable) }, { "reason", aReply.detail_ } });
  }
  if (!answering) {
    engines_.OnStoreFailure(clock_.Now());
    return false;
  }
  if (aReply.end_ == StoreOutcome::HistoryDropped) {
    Log::Write(LogLevel::Info, "store_history_dropped",
               { { "table", ToString(aTable) },
                 { "version", ToString(followed.version_) } });
    followed.known_ = false;
    return false;
  }
  const auto adopted = Adopt(aTable, aReply);
  followed.known_ = true;
  followed.version_ = std::max(followed.version_, aReply.version_);
  return adopted;
}

auto ControlPlane::Adopt(StoreTable aTable, const StoreReply& aReply) -> bool
{
  auto adopted = false;
  const auto readsAll = !FollowedOf(aTable).known_;
  switch (aTable) {
    case StoreTable::Configuration:
      // Before the configuration, with which a host becomes ready.
      adopted = AdoptEvacuations(aReply, readsAll);
      for (const auto& row : aReply.rows_) {
        adopted |= AdoptConfiguration(row);
      }
      break;
    case StoreTable::Engines:
      adopted = readsAll ? engines_.ApplyAll(aReply.rows_, aReply.version_,
                                             clock_.Now())
                         : engines_.Apply(aReply.rows_, clock_.Now());
      // The first complete list is published even if it is empty, since this
      // host knows it from now on.
      if (adopted || readsAll) {
        PublishEngines();
      }
      break;
    case StoreTable::Hosts:
      AdoptHosts(aReply.rows_);
      break;
    case StoreTable::HeldRequests:
      break; // Read once, by RestoreHeldRequests.
    case StoreTable::StreamVersions:
    case StoreTable::Streams:
      break; // Read by StreamVersions when needed.
  }
  return adopted;
}

auto ControlPlane::AdoptConfiguration(const StoreRow& aRow,
                                      const std::optional<std::string>& aPacked)
  -> bool
{
  if (aRow.key_ != kConfigurationKey ||
      (!aPacked && !configuration_.MayBeNew(aRow))) {
    return false;
  }
  return Handle(
    [&]() -> Result<bool> {
      const auto startedAt = clock_.Now();
      BOOST_LEAF_AUTO(routing, codec_.DecodeRouting(aRow.value_));
      if (!configuration_.Adopt(aRow, routing.Version())) {
        Log::Write(LogLevel::Info, "configuration_kept",
                   { { "version", std::to_string(configuration_.Version()) },
                     { "offered", std::to_string(routing.Version()) },
                     { "row", ToString(aRow.version_) } });
        return false;
      }
      configuration_.SetPacked(aPacked ? *aPacked : Pack(aRow.value_));
      Log::Write(
        LogLevel::Info, "configuration_adopted",
        { { "version", std::to_string(configuration_.Version()) },
          { "row", ToString(aRow.version_) },
          { "bytes", std::to_string(aRow.value_.size()) },
          { "packed", std::to_string(configuration_.Row().value_.size()) },
          { "took_ms",
            std::to_string(ToMilliseconds(clock_.Now() - startedAt)) } });
      metrics_.SetConfiguration(configuration_.Version());
      metrics_.SetView(ToString(StoreTable::Configuration),
                       configuration_.Row().version_.number_);
      listener_.onRouting_(
        std::make_shared<const RoutingTable>(std::move(routing)));
      if (current_) {
        peers_.SetCallerAddress(options_.settings_.callers_);
      }
      PublishFleet();
      return true;
    },
    [&](const Error& aError) {
      Log::Write(
        LogLevel::Error, "configuration_unreadable",
        { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
      return false;
    });
}

auto ControlPlane::PeerAddressOf(const StoreRow& aRow) -> std::string
{
  return Handle(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(card, codec_.DecodeHost(aRow.key_, aRow.value_));
      return card.peerAddress_;
    },
    [&](const Error& aError) {
      unreadableHosts_.Report(aRow.key_, aError, clock_.Now());
      return std::string();
    });
}

auto ControlPlane::AdoptHosts(const std::vector<StoreRow>& aRows) -> void
{
  for (const auto& row : aRows) {
    if (row.key_ == options_.settings_.host_) {
      continue;
    }
    if (row.removed_) {
      hostRows_.erase(row.key_);
      continue;
    }
    if (auto address = PeerAddressOf(row); !address.empty()) {
      hostRows_[row.key_] = std::move(address);
    }
  }
  hostsRead_ = true;
  UpdateAddresses();
}

auto ControlPlane::RegisterHost() -> Task<void>
{
  const auto& settings = options_.settings_;
  const auto card =
    codec_.EncodeHost({ .host_ = settings.host_,
                        .zone_ = settings.zone_,
                        .callerAddress_ = settings.callers_,
                        .peerAddress_ = settings.PeerAddress(),
                        .incarnation_ = options_.incarnation_ });
  auto pause = options_.minRetryDelay_;
  while (!leaving_) {
    const auto reply =
      co_await store_.Write(StoreTable::Hosts, settings.host_, card);
    const auto isLost = storeEra_ && reply.version_.era_ < *storeEra_;
    if (reply.end_ == StoreOutcome::Done && !isLost) {
      co_return;
    }
    Log::Write(LogLevel::Warning, "host_row_not_written",
               { { "reason", reply.end_ == StoreOutcome::Done
                               ? "written in an earlier era of the store"
                               : reply.detail_ } });
    co_await Pause(pause);
    pause = std::min(pause * 2, options_.maxRetryDelay_);
  }
}

} // namespace goldcrestcroft
