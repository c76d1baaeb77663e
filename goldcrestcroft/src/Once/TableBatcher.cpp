#include "TableBatcher.h"

#include <algorithm>

namespace goldcrestcroft {

auto TableBatcher::Add(RowWrite aWrite) -> std::optional<WriteTicket>
{
  if (queue_.size() >= options_.maxQueue_) {
    return std::nullopt;
  }
  queue_.push_back({ .ticket_ = ++lastTicket_, .write_ = std::move(aWrite) });
  return lastTicket_;
}

auto TableBatcher::NextDue() const -> std::optional<TimePoint>
{
  if (queue_.empty() || !underWay_.empty()) {
    return std::nullopt;
  }
  return nextStart_;
}

auto TableBatcher::NextBatch(TimePoint aNow)
  -> std::optional<std::vector<RowWrite>>
{
  const auto due = NextDue();
  if (!due || aNow < *due) {
    return std::nullopt;
  }
  nextStart_ = aNow + options_.period_;
  std::vector<RowWrite> writes;
  std::deque<Pending> deferred;
  while (!queue_.empty() && writes.size() < options_.maxBatch_) {
    auto pending = std::move(queue_.front());
    queue_.pop_front();
    // Two writes of one row in one transaction would affect each other's
    // condition; the second one waits for the next transaction.
    const auto sameRow =
      std::any_of(writes.begin(), writes.end(), [&](const RowWrite& aWrite) {
        return aWrite.key_ == pending.write_.key_;
      });
    if (sameRow) {
      deferred.push_back(std::move(pending));
      continue;
    }
    writes.push_back(pending.write_);
    underWay_.push_back(std::move(pending));
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(deferred.begin()),
                std::make_move_iterator(deferred.end()));
  return writes;
}

auto TableBatcher::OnConflict(const TransactReply& aReply)
  -> std::vector<WriteResult>
{
  std::vector<WriteResult> results;
  std::vector<Pending> retried;
  for (auto& pending : underWay_) {
    const auto row = std::find_if(
      aReply.conflicts_.begin(), aReply.conflicts_.end(),
      [&](const Row& aRow) { return aRow.key_ == pending.write_.key_; });
    if (row == aReply.conflicts_.end()) {
      retried.push_back(std::move(pending));
    } else {
      results.push_back({ .ticket_ = pending.ticket_,
                          .status_ = TableStatus::Conflict,
                          .row_ = *row });
    }
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(retried.begin()),
                std::make_move_iterator(retried.end()));
  return results;
}

auto TableBatcher::OnReply(const TransactReply& aReply)
  -> std::vector<WriteResult>
{
  std::vector<WriteResult> results;
  if (aReply.status_ == TableStatus::Conflict && !aReply.conflicts_.empty()) {
    results = OnConflict(aReply);
  } else {
    for (std::size_t i = 0; i < underWay_.size(); ++i) {
      results.push_back(
        { .ticket_ = underWay_[i].ticket_,
          .status_ = aReply.status_,
          .version_ = i < aReply.versions_.size() ? aReply.versions_[i] : 0,
          .row_ = { .key_ = underWay_[i].write_.key_ } });
    }
  }
  underWay_.clear();
  return results;
}

} // namespace goldcrestcroft
