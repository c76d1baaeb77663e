#include "../Observability/Log.h"
#include "ControlPlane.h"
#include "PackedText.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Key of the operator's latest configuration. */
constexpr std::string_view kConfigurationKey = "config";

} // namespace

auto ControlPlane::Pause(Duration aTime) -> Task<void>
{
  asio::steady_timer timer(context_, aTime);
  co_await timer.async_wait(kAsTuple);
}

auto ControlPlane::ReadersAhead(StoreTable aTable) const -> std::size_t
{
  // Ordered by rendezvous weight, which is the same on all hosts.
  const auto weight = [&](const std::string& aHost) {
    return RendezvousWeight(ToString(aTable), aHost);
  };
  const auto own = weight(options_.settings_.host_);
  return static_cast<std::size_t>(std::count_if(
    published_.hosts_.begin(), published_.hosts_.end(), [&](const auto& aHost) {
      return !aHost.leaving_ && weight(aHost.id_) > own;
    }));
}

auto ControlPlane::IsReader(StoreTable aTable) const -> bool
{
  return published_.hosts_.size() <= options_.smallFleet_ ||
         ReadersAhead(aTable) < options_.readers_;
}

auto ControlPlane::ReaderDelay(StoreTable aTable) const -> Duration
{
  const auto pause = std::min(
    options_.readerDelay_ * static_cast<Duration::rep>(ReadersAhead(aTable)),
    options_.maxReaderDelay_);
  return aTable == StoreTable::Hosts
           ? std::max(pause, options_.initialReadDelay_)
           : pause;
}

auto ControlPlane::NewestRow(StoreTable aTable) const -> StoreVersion
{
  return aTable == StoreTable::Configuration ? configuration_.Row().version_
         : aTable == StoreTable::Engines     ? engines_.Version()
                                             : StoreVersion{};
}

auto ControlPlane::NextRead(StoreTable aTable) -> TableWatch::Step
{
  constexpr auto kRoleCheckInterval = std::chrono::milliseconds{ 500 };
  auto& followed = FollowedOf(aTable);
  const auto reads = IsReader(aTable) || !followed.known_;
  // The table's entries are needed to find hosts that heartbeats do not reach.
  if (aTable == StoreTable::Hosts) {
    return { .reads_ = reads,
             .time_ =
               reads ? options_.hostsWait_ : Duration{ kRoleCheckInterval } };
  }
  followed.watch_.SetPlace({ .hosts_ = published_.hosts_.size(),
                             .ahead_ = ReadersAhead(aTable),
                             .reads_ = reads });
  auto step = followed.watch_.Next(clock_.Now());
  if (!step.reads_) {
    step.time_ = std::min<Duration>(step.time_, kRoleCheckInterval);
  }
  return step;
}

auto ControlPlane::Read(StoreTable aTable, TableWatch::Step aStep)
  -> Task<StoreReply>
{
  auto& followed = FollowedOf(aTable);
  if (!followed.known_) {
    co_return co_await ReadRest(aTable);
  }
  // Changes received from peers meanwhile are not requested again.
  followed.version_ = std::max(followed.version_, NewestRow(aTable));
  if (followed.watch_.RoleAt(clock_.Now()) == TableWatch::Role::Listener) {
    // A connection that was left idle may be unresponsive.
    store_.Abandon(aTable);
  }
  followed.sentAt_ = clock_.Now();
  auto reply = co_await store_.Follow(aTable, followed.version_, aStep.time_);
  followed.sentAt_.reset();
  co_return reply;
}

auto ControlPlane::Follow(StoreTable aTable) -> Task<void>
{
  auto& followed = FollowedOf(aTable);
  followed.known_ = false;
  followed.scan_.reset();
  followed.sentAt_.reset();
  auto pause = options_.minRetryDelay_;
  for (;;) {
    const auto step = NextRead(aTable);
    UpdateRole(aTable);
    if (!step.reads_) {
      co_await Pause(step.time_);
      continue;
    }
    const auto readsAll = !followed.known_;
    const auto sentAt = clock_.Now();
    auto reply = co_await Read(aTable, step);
    CheckEra(aTable, readsAll, reply);
    const auto now = clock_.Now();
    auto renewed = false;
    if (reply.end_ == StoreOutcome::Done) {
      renewed =
        followed.watch_.OnAnswered(readsAll ? followed.scanBeganAt_ : sentAt,
                                   readsAll ? Duration{} : step.time_, now);
    } else if (reply.end_ == StoreOutcome::HistoryDropped) {
      followed.watch_.Forget();
    } else {
      followed.watch_.OnFailed(now);
    }
    const auto adopted = OnStoreReply(aTable, reply);
    // The reports of a few readers keep the views of all other hosts current.
    const auto reportsView = reply.end_ == StoreOutcome::Done && !readsAll &&
                             published_.hosts_.size() > options_.smallFleet_;
    if (adopted || renewed || reportsView) {
      PushHeartbeats();
    }
    if (reply.end_ == StoreOutcome::Done) {
      pause = options_.minRetryDelay_;
      co_await Pause(readsAll ? options_.initialReadDelay_
                              : ReaderDelay(aTable));
    } else if (reply.end_ != StoreOutcome::HistoryDropped &&
               aTable == StoreTable::Hosts) {
      co_await Pause(pause);
      pause = std::min(pause * 2, options_.maxRetryDelay_);
    }
  }
}

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

auto ControlPlane::ReadRest(StoreTable aTable) -> Task<StoreReply>
{
  auto& followed = FollowedOf(aTable);
  if (!followed.scan_ || followed.scan_->PagesRead() == 0) {
    followed.scan_.emplace(
      TableScan::Options{ .keep_ = [this, aTable](StoreRow& aRow) {
        return IsOfInterest(aTable, aRow);
      } });
    followed.scanBeganAt_ = clock_.Now();
  }
  auto reply = co_await ReadTable(store_, aTable, *followed.scan_);
  if (reply.end_ == StoreOutcome::Done) {
    LogRead(aTable, *followed.scan_, clock_.Now() - followed.scanBeganAt_);
  }
  if (reply.end_ == StoreOutcome::Done ||
      reply.end_ == StoreOutcome::HistoryDropped) {
    followed.scan_.reset();
  }
  co_return reply;
}

auto ControlPlane::LogRead(StoreTable aTable, const TableScan& aScan,
                           Duration aTime) -> void
{
  Log::Write(LogLevel::Info, "table_read",
             { { "table", ToString(aTable) },
               { "pages", std::to_string(aScan.PagesRead()) },
               { "rows", std::to_string(aScan.RowsRead()) },
               { "of_interest", std::to_string(aScan.RowsKept()) },
               { "took_ms", std::to_string(ToMilliseconds(aTime)) } });
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
