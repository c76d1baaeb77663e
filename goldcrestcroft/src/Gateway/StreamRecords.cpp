#include "StreamRecords.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "TableScan.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** A key that no stream has. */
constexpr auto kProbeKey = "-";

} // namespace

auto StreamRecords::Pause(Duration aTime) -> Task<void>
{
  asio::steady_timer timer(context_, aTime);
  co_await timer.async_wait(kAsTuple);
}

auto StreamRecords::Enqueue(const std::string& aKey, Row& aRow, bool aIsUrgent)
  -> void
{
  if (!std::exchange(aRow.pending_, true)) {
    pending_.insert(aIsUrgent ? pending_.begin() : pending_.end(), aKey);
  }
  if (!std::exchange(flushing_, true)) {
    asio::co_spawn(context_, Flush(), LogFailure{ "write_stream_records" });
  }
}

auto StreamRecords::Put(const std::string& aKey, const std::string& aVersion,
                        TimePoint aKeepUntil, std::function<void()> aOnStored)
  -> void
{
  if (!rows_.contains(aKey) && rows_.size() >= options_.maxRows_) {
    metrics_.Count("stream_records_dropped");
    return;
  }
  auto& row = rows_[aKey];
  const auto isSame = row.version_ == aVersion && !row.removed_;
  row.version_ = aVersion;
  row.removed_ = false;
  row.keepUntil_ = std::max(row.keepUntil_, aKeepUntil);
  if (isSame && row.stored_ == aVersion && !row.pending_) {
    return;
  }
  row.onStored_.push_back(std::move(aOnStored));
  if (!isSame || !row.sending_) {
    // Callers wait for it, unlike for rows that are written again.
    Enqueue(aKey, row, true);
  }
}

auto StreamRecords::IsStored(const std::string& aKey,
                             const std::string& aVersion) const -> bool
{
  const auto found = rows_.find(aKey);
  if (found == rows_.end()) {
    return false;
  }
  const auto& row = found->second;
  const auto mayChange =
    std::any_of(row.uncertain_.begin(), row.uncertain_.end(),
                [&](const auto& aLate) { return aLate != aVersion; });
  return !row.pending_ && row.stored_ == aVersion && !mayChange;
}

auto StreamRecords::Uncertain(const std::string& aKey) const
  -> std::optional<std::string>
{
  const auto found = rows_.find(aKey);
  return found != rows_.end() && !found->second.uncertain_.empty()
           ? std::optional(*found->second.uncertain_.begin())
           : std::nullopt;
}

auto StreamRecords::CanWithdraw(const std::string& aKey) const -> bool
{
  const auto found = rows_.find(aKey);
  return found == rows_.end() ||
         (!found->second.sending_ && !found->second.mayExist_);
}

auto StreamRecords::Withdraw(const std::string& aKey) -> bool
{
  if (!CanWithdraw(aKey)) {
    return false;
  }
  std::erase(pending_, aKey);
  rows_.erase(aKey);
  return true;
}

auto StreamRecords::Read(std::string aKey) -> Task<StoreReply>
{
  co_return co_await store_.ReadRow(StoreTable::Streams, std::move(aKey));
}

auto StreamRecords::OnStoreRestored(std::uint64_t aEra) -> void
{
  era_ = std::max(era_, aEra);
  for (auto& [key, row] : rows_) {
    row.stored_.reset();
    Enqueue(key, row);
  }
}

auto StreamRecords::RemoveExpired(TimePoint aNow) -> void
{
  for (auto& [key, row] : rows_) {
    if (!row.removed_ && aNow >= row.keepUntil_) {
      row.removed_ = true;
      Enqueue(key, row);
    }
  }
}

auto StreamRecords::TakeChanges() -> std::vector<RowChange>
{
  std::vector<RowChange> changes;
  while (!pending_.empty() && changes.size() < MetadataStore::kMaxRowChanges) {
    const auto key = std::move(pending_.front());
    pending_.pop_front();
    auto& row = rows_[key];
    row.pending_ = false;
    row.sending_ = true;
    // Until the reply arrives, the store may contain either value.
    row.stored_.reset();
    changes.push_back(
      { .key_ = key,
        .value_ = row.removed_ ? std::nullopt : std::optional(row.version_) });
  }
  return changes;
}

auto StreamRecords::OnChanged(const std::vector<RowChange>& aChanges) -> void
{
  for (const auto& change : aChanges) {
    auto& row = rows_[change.key_];
    row.sending_ = false;
    row.mayExist_ = row.mayExist_ || change.value_;
    if (row.pending_) {
      continue; // It has changed meanwhile.
    }
    if (!change.value_) {
      rows_.erase(change.key_);
      continue;
    }
    row.stored_ = change.value_;
    for (const auto& onStored : std::exchange(row.onStored_, {})) {
      onStored();
    }
  }
}

auto StreamRecords::OnFailed(const std::vector<RowChange>& aChanges,
                             const StoreReply& aReply) -> void
{
  // From the last one on, so that those that have waited for longest are first
  // again.
  for (auto change = aChanges.rbegin(); change != aChanges.rend(); ++change) {
    auto& row = rows_[change->key_];
    row.sending_ = false;
    row.mayExist_ = row.mayExist_ ||
                    (aReply.end_ != StoreOutcome::Refused && aReply.wasSent_);
    if (change->value_ && aReply.end_ == StoreOutcome::Unanswered &&
        aReply.wasSent_) {
      row.uncertain_.insert(*change->value_);
    }
    Enqueue(change->key_, row, change->value_.has_value());
  }
  Log::Write(LogLevel::Warning, "stream_records_not_written",
             { { "rows", std::to_string(aChanges.size()) },
               { "reason", aReply.end_ == StoreOutcome::Done
                             ? "written in an earlier era of the store"
                             : aReply.detail_ } });
}

auto StreamRecords::MakeCall() -> Task<bool>
{
  const auto changes = TakeChanges();
  const auto began = clock_.Now();
  if (changes.empty()) {
    // All rows were withdrawn; only a call shows that the store is back.
    const auto reply = co_await Read(kProbeKey);
    co_return reply.end_ == StoreOutcome::Done;
  }
  const auto reply = co_await store_.Change(StoreTable::Streams, changes);
  const auto isLost = reply.version_.era_ < era_;
  if (reply.end_ != StoreOutcome::Done || isLost) {
    OnFailed(changes, reply);
    co_return false;
  }
  OnChanged(changes);
  metrics_.Count("stream_record_calls");
  const std::chrono::duration<double> interval(
    static_cast<double>(options_.hosts_()) / options_.callsPerSecond_);
  const auto left =
    std::chrono::duration_cast<Duration>(interval) - (clock_.Now() - began);
  failingSince_.reset();
  // The first rows after a quiet time are not delayed.
  co_await Pause(std::max<Duration>(left, {}));
  co_return true;
}

auto StreamRecords::MaxRetryDelay() const -> Duration
{
  const std::chrono::duration<double> share(
    static_cast<double>(options_.hosts_()) / options_.callsPerSecond_);
  return std::max(std::chrono::duration_cast<Duration>(share),
                  options_.minMaxRetryDelay_);
}

auto StreamRecords::Flush() -> Task<void>
{
  const ClearAtEnd flushing(flushing_);
  auto pause = options_.minRetryDelay_;
  while (!pending_.empty() || failingSince_) {
    const auto began = clock_.Now();
    const auto succeeded = co_await MakeCall();
    if (succeeded) {
      failingSince_.reset();
      pause = options_.minRetryDelay_;
      continue;
    }
    failingSince_ = failingSince_.value_or(began);
    co_await Pause(pause);
    pause = std::min(pause * 2, MaxRetryDelay());
  }
}

auto StreamRecords::RemoveOrphans() -> Task<bool>
{
  TableScan scan({ .keep_ = [](StoreRow& aRow) {
    aRow.value_.clear();
    return true;
  } });
  const auto reply = co_await ReadTable(store_, StoreTable::Streams, scan);
  if (reply.end_ != StoreOutcome::Done) {
    co_return true;
  }
  const auto now = clock_.Now();
  std::map<std::string, TimePoint> seen;
  std::vector<RowChange> removals;
  for (const auto& row : reply.rows_) {
    if (rows_.contains(row.key_)) {
      continue;
    }
    const auto known = orphans_.find(row.key_);
    const auto since = known == orphans_.end() ? now : known->second;
    if (now - since >= options_.orphanRetention_ &&
        removals.size() < MetadataStore::kMaxRowChanges) {
      removals.push_back({ .key_ = row.key_ });
    } else {
      seen.emplace(row.key_, since);
    }
  }
  orphans_ = std::move(seen);
  if (!removals.empty()) {
    co_await store_.Change(StoreTable::Streams, std::move(removals));
  }
  co_return !reply.rows_.empty();
}

} // namespace goldcrestcroft
