#include "../Observability/Log.h"
#include "ControlPlane.h"

#include <algorithm>

namespace goldcrestcroft {

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

} // namespace goldcrestcroft
