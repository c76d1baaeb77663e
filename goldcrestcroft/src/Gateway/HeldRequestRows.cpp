#include "HeldRequestRows.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "TableScan.h"

#include <algorithm>
#include <tuple>

namespace goldcrestcroft {

auto HeldRequestRows::IsNew(const SuspectNotice& aNotice) const -> bool
{
  return aNotice.level_ == SuspectLevel::Suspected &&
         aNotice.count_ <= options_.maxNewCount_;
}

auto HeldRequestRows::HasCapacity(const SuspectNotice& aNotice) const -> bool
{
  const auto tracked =
    std::count_if(rows_.begin(), rows_.end(), [&](const auto& aRow) {
      return aRow.first != aNotice.request_ &&
             aRow.second.isNew_ == IsNew(aNotice);
    });
  return static_cast<std::size_t>(tracked) < options_.maxTracked_;
}

auto HeldRequestRows::NewWriteInterval() const -> Duration
{
  return Duration{ std::chrono::seconds{ 1 } } *
         static_cast<Duration::rep>(options_.hosts_()) /
         static_cast<Duration::rep>(options_.newCallsPerSecond_);
}

auto HeldRequestRows::SpreadOver(Duration aTime, std::uint64_t aRequest)
  -> Duration
{
  constexpr std::uint64_t kSlots = 1024;
  return aTime * static_cast<Duration::rep>(aRequest % kSlots) /
         static_cast<Duration::rep>(kSlots);
}

auto HeldRequestRows::OnStoreRestored(std::uint64_t aEra) -> void
{
  era_ = aEra;
  const auto spread =
    NewWriteInterval() * static_cast<Duration::rep>(rows_.size());
  for (auto& [request, row] : rows_) {
    row.stored_.reset();
    row.mayExist_ = true;
    row.notBefore_ = clock_.Now() + SpreadOver(spread, request);
  }
  wake_.cancel();
}

auto HeldRequestRows::Track(const SuspectNotice& aNotice) -> void
{
  if (!HasCapacity(aNotice)) {
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", ToHex(aNotice.request_) },
                 { "level", ToString(aNotice.level_) },
                 { "reason", "too many rows are maintained" } });
    return;
  }
  auto& row = rows_[aNotice.request_];
  row.isNew_ = IsNew(aNotice);
  row.notBefore_ =
    row.isNew_ ? clock_.Now() + SpreadOver(NewWriteInterval(), aNotice.request_)
               : TimePoint{};
  wake_.cancel();
  if (!maintaining_) {
    maintaining_ = true;
    asio::co_spawn(
      context_,
      KeepRunning("maintain_held_requests", [this] { return Maintain(); }),
      LogFailure{ "maintain_held_requests" });
  }
}

auto HeldRequestRows::TrackStored(const SuspectNotice& aNotice) -> void
{
  if (!IsTracked(aNotice.request_) && HasCapacity(aNotice)) {
    rows_[aNotice.request_] = { .stored_ = aNotice, .mayExist_ = true };
    Track(aNotice);
  }
}

auto HeldRequestRows::NextStep() -> std::optional<Step>
{
  const auto now = clock_.Now();
  std::optional<Step> next;
  auto best = std::tuple(-1, 0U);
  for (auto it = rows_.begin(); it != rows_.end();) {
    auto& [request, row] = *it;
    const auto known = options_.known_(request);
    if (!known && !row.mayExist_) {
      it = rows_.erase(it);
      continue;
    }
    ++it;
    const auto isCurrent = known && row.stored_ &&
                           row.stored_->generation_ == known->generation_ &&
                           row.stored_->level_ == known->level_ &&
                           row.stored_->count_ == known->count_;
    if (isCurrent || now < row.notBefore_ ||
        (row.isNew_ && now < nextNewWriteAt_)) {
      continue;
    }
    const auto isVerdict = known && known->level_ == SuspectLevel::Quarantined;
    const auto rank = std::tuple(!known      ? 0
                                 : isVerdict ? 2
                                             : 1,
                                 known ? known->count_ : 0);
    if (rank > best) {
      best = rank;
      next =
        Step{ .request_ = request, .wanted_ = known, .isNew_ = row.isNew_ };
    }
  }
  return next;
}

auto HeldRequestRows::Execute(Step aStep) -> Task<void>
{
  if (aStep.isNew_) {
    nextNewWriteAt_ = clock_.Now() + NewWriteInterval();
  }
  auto& before = rows_.at(aStep.request_);
  before.stored_.reset();
  before.mayExist_ = true;
  const auto notice =
    aStep.wanted_.value_or(SuspectNotice{ .request_ = aStep.request_ });
  auto [key, value] = codec_.EncodeSuspectNotice(notice);
  std::optional<std::string> newValue;
  if (aStep.wanted_) {
    newValue = std::move(value);
  }
  const auto done = co_await Put(key, std::move(newValue));
  auto& row = rows_.at(aStep.request_);
  if (done) {
    row.stored_ = aStep.wanted_;
    row.mayExist_ = aStep.wanted_.has_value();
  } else {
    // A write without a reply may have been applied.
    row.notBefore_ = clock_.Now() + options_.checkInterval_;
  }
}

auto HeldRequestRows::Pause() -> Task<void>
{
  const auto now = clock_.Now();
  auto until = now + options_.checkInterval_;
  const auto wakeAt = [&](TimePoint aMoment) {
    until = aMoment > now ? std::min(until, aMoment) : until;
  };
  wakeAt(nextNewWriteAt_);
  for (const auto& [request, row] : rows_) {
    wakeAt(row.notBefore_);
  }
  wake_.expires_after(until - now);
  co_await wake_.async_wait(kAsTuple);
}

auto HeldRequestRows::Maintain() -> Task<void>
{
  while (!rows_.empty()) {
    const auto step = NextStep();
    if (step) {
      co_await Execute(*step);
    } else {
      co_await Pause();
    }
  }
  maintaining_ = false;
}

auto HeldRequestRows::Put(std::string aKey, std::optional<std::string> aValue)
  -> Task<bool>
{
  const auto reply =
    co_await store_.Write(StoreTable::HeldRequests, aKey, std::move(aValue));
  const auto isDone = reply.end_ == StoreOutcome::Done;
  const auto isLost = isDone && reply.version_.era_ < era_;
  if (!isDone || isLost) {
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", aKey },
                 { "reason", isLost ? "written in an earlier era of the store"
                                    : reply.detail_ } });
  }
  co_return isDone && !isLost;
}

auto HeldRequestRows::ReadAll() -> Task<std::vector<SuspectNotice>>
{
  const auto newScan = [this] {
    return TableScan(
      { .keep_ = [this](StoreRow& aRow) { return Decode(aRow).has_value(); } });
  };
  auto scan = newScan();
  auto reply = co_await ReadTable(store_, StoreTable::HeldRequests, scan);
  while (reply.end_ != StoreOutcome::Done || reply.version_.era_ < era_) {
    if (reply.end_ == StoreOutcome::Done) {
      scan = newScan();
    }
    asio::steady_timer timer(context_, options_.checkInterval_);
    co_await timer.async_wait(kAsTuple);
    reply = co_await ReadTable(store_, StoreTable::HeldRequests, scan);
  }
  std::vector<SuspectNotice> notices;
  for (const auto& row : reply.rows_) {
    if (auto notice = Decode(row)) {
      notice->left_ = options_.holdFor_;
      notices.push_back(*notice);
    }
  }
  unreadable_.Summarize(TimePoint::max());
  co_return notices;
}

auto HeldRequestRows::Decode(const StoreRow& aRow)
  -> std::optional<SuspectNotice>
{
  return Handle(
    [&]() -> Result<std::optional<SuspectNotice>> {
      BOOST_LEAF_AUTO(notice,
                      codec_.DecodeSuspectNotice(aRow.key_, aRow.value_));
      return std::optional(notice);
    },
    [&](const Error& aError) -> std::optional<SuspectNotice> {
      unreadable_.Report(aRow.key_, aError, clock_.Now());
      return std::nullopt;
    });
}

} // namespace goldcrestcroft
