#pragma once

#include "WorkItem.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Queued work items of one workspace for one pool, ordered by priority
 * and then by deadline. */
class WorkQueue
{
public:
  auto Push(WorkItem aWork, Duration aCost) -> void;
  auto Pop() -> WorkItem;
  /** \brief Removes a work item; false if it is not queued. */
  auto Remove(const AttemptId& aId) -> bool;

  /** \brief Removes work items for which aIsInfeasible holds and passes them to
   * aSink. Checks each priority in order of deadline up to the first feasible
   * work item. */
  template<typename Predicate, typename Sink>
  auto RemoveInfeasible(Predicate aIsInfeasible, Sink aSink) -> void
  {
    for (const auto priority :
         { Priority::Urgent, Priority::Normal, Priority::Draft }) {
      for (auto entry = FirstOf(priority); entry != entries_.end();
           entry = FirstOf(priority)) {
        if (!aIsInfeasible(items_.at(entry->sequence_).work_)) {
          break;
        }
        aSink(Take(Entry(*entry)));
      }
    }
  }

  [[nodiscard]] auto Head() const -> const WorkItem&;
  [[nodiscard]] auto empty() const -> bool { return entries_.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
  /** \brief Total service time of the work items queued at this priority or
   * above. */
  [[nodiscard]] auto CostAhead(Priority aPriority) const -> Duration;

private:
  struct Entry
  {
    Priority priority_;
    TimePoint deadline_;
    std::uint64_t sequence_;

    auto operator<=>(const Entry&) const = default;
  };
  struct Item
  {
    WorkItem work_;
    Duration cost_;
  };

  auto Take(const Entry& aEntry) -> WorkItem;
  [[nodiscard]] auto FirstOf(Priority aPriority) const
    -> std::set<Entry>::const_iterator
  {
    const auto first = entries_.lower_bound({ aPriority, TimePoint::min(), 0 });
    return first != entries_.end() && first->priority_ == aPriority
             ? first
             : entries_.end();
  }

  std::set<Entry> entries_;
  std::unordered_map<std::uint64_t, Item> items_;
  std::unordered_map<AttemptId, Entry> byId_;
  Duration costByPriority_[3]{};
  std::uint64_t nextSequence_ = 0;
};

} // namespace goldcrestcroft
