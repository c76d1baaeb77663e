#include "WorkQueue.h"

namespace goldcrestcroft {

auto WorkQueue::Push(WorkItem aWork, Duration aCost) -> void
{
  const Entry entry{ .priority_ = aWork.priority_,
                     .deadline_ = aWork.deadline_,
                     .sequence_ = nextSequence_++ };
  costByPriority_[static_cast<int>(entry.priority_)] += aCost;
  entries_.insert(entry);
  byId_.emplace(aWork.id_, entry);
  items_.emplace(entry.sequence_,
                 Item{ .work_ = std::move(aWork), .cost_ = aCost });
}

auto WorkQueue::Take(const Entry& aEntry) -> WorkItem
{
  auto node = items_.extract(aEntry.sequence_);
  costByPriority_[static_cast<int>(aEntry.priority_)] -= node.mapped().cost_;
  byId_.erase(node.mapped().work_.id_);
  entries_.erase(aEntry);
  return std::move(node.mapped().work_);
}

auto WorkQueue::Pop() -> WorkItem
{
  const auto entry = *entries_.begin();
  return Take(entry);
}

auto WorkQueue::Remove(const AttemptId& aId) -> bool
{
  const auto found = byId_.find(aId);
  if (found == byId_.end()) {
    return false;
  }
  const auto entry = found->second;
  Take(entry);
  return true;
}

auto WorkQueue::Head() const -> const WorkItem&
{
  return items_.at(entries_.begin()->sequence_).work_;
}

auto WorkQueue::CostAhead(Priority aPriority) const -> Duration
{
  Duration sum{ 0 };
  for (int i = 0; i <= static_cast<int>(aPriority); ++i) {
    sum += costByPriority_[i];
  }
  return sum;
}

} // namespace goldcrestcroft
