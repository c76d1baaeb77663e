#pragma once

#include "Work.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Waiting work of one workspace for one pool: by priority, then by
 * deadline. */
class WorkQueue
{
public:
  auto Push(Work aWork, Duration aCost) -> void;
  auto Pop() -> Work;
  /** \brief Takes out a work that is no longer wanted. */
  auto Remove(const AttemptId& aId) -> bool;

  /** \brief Hands over what aIsInfeasible holds for, looking at the earliest
   * deadline of each priority until one is feasible. */
  template<typename Predicate, typename Sink>
  auto RemoveInfeasible(Predicate aIsInfeasible, Sink aSink) -> void
  {
    for (const auto priority :
         { Priority::Urgent, Priority::Normal, Priority::Draft }) {
      for (auto entry = FirstOf(priority); entry != entries_.end();
           entry = FirstOf(priority)) {
        if (!aIsInfeasible(held_.at(entry->sequence_).work_)) {
          break;
        }
        aSink(Take(Entry(*entry)));
      }
    }
  }

  [[nodiscard]] auto Head() const -> const Work&;
  [[nodiscard]] auto empty() const -> bool { return entries_.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
  /** \brief Service time of everything that waits at this priority or above. */
  [[nodiscard]] auto CostAhead(Priority aPriority) const -> Duration;

private:
  struct Entry
  {
    Priority priority_;
    TimePoint deadline_;
    std::uint64_t sequence_;

    auto operator<=>(const Entry&) const = default;
  };
  struct Held
  {
    Work work_;
    Duration cost_;
  };

  auto Take(const Entry& aEntry) -> Work;
  [[nodiscard]] auto FirstOf(Priority aPriority) const
    -> std::set<Entry>::const_iterator
  {
    const auto first = entries_.lower_bound({ aPriority, TimePoint::min(), 0 });
    return first != entries_.end() && first->priority_ == aPriority
             ? first
             : entries_.end();
  }

  std::set<Entry> entries_;
  std::unordered_map<std::uint64_t, Held> held_;
  std::unordered_map<AttemptId, Entry> byId_;
  Duration cost_[3]{};
  std::uint64_t nextSequence_ = 0;
};

} // namespace goldcrestcroft
