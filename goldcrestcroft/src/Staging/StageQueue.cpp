#include "StageQueue.h"

#include <algorithm>

namespace goldcrestcroft {

auto StageQueue::Add(StageOrder aOrder, TimePoint aNow) -> void
{
  Cancel(aOrder.id_);
  waiting_ += aOrder.pieces_.size();
  auto pieces = aOrder.pieces_;
  const auto id = aOrder.id_;
  entries_.emplace(id, Entry{ .order_ = std::move(aOrder),
                              .addedAt_ = aNow,
                              .waiting_ = std::move(pieces) });
}

auto StageQueue::Return(const PieceTicket& aTicket) -> void
{
  const auto found = entries_.find(aTicket.order_);
  if (found != entries_.end()) {
    found->second.waiting_.push_back(aTicket.piece_);
    ++waiting_;
  }
}

auto StageQueue::Cancel(std::uint64_t aOrder) -> void
{
  const auto found = entries_.find(aOrder);
  if (found != entries_.end()) {
    waiting_ -= found->second.waiting_.size();
    entries_.erase(found);
  }
}

auto StageQueue::Find(std::uint64_t aOrder) const -> const StageOrder*
{
  const auto found = entries_.find(aOrder);
  return found == entries_.end() ? nullptr : &found->second.order_;
}

auto StageQueue::TakeCall(const FreeEngine& aEngine,
                          const std::vector<std::string>& aZones,
                          TimePoint aNow) -> std::vector<PieceTicket>
{
  struct Choice
  {
    TimePoint due_;
    Entry* entry_;
  };
  std::vector<Choice> choices;
  for (auto& [id, entry] : entries_) {
    if (entry.waiting_.empty()) {
      continue;
    }
    const auto& zone = entry.order_.zone_;
    auto due = EffectiveDue(entry.order_.rank_, entry.order_.dueAt_);
    const auto elsewhere =
      zone != aEngine.zone_ &&
      std::find(aZones.begin(), aZones.end(), zone) != aZones.end();
    if (elsewhere) {
      if (aNow - entry.addedAt_ < options_.zonePatience_) {
        continue;
      }
      due += options_.zonePenalty_;
    }
    choices.push_back({ .due_ = due, .entry_ = &entry });
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& aLeft, const Choice& aRight) {
                     return aLeft.due_ < aRight.due_;
                   });
  std::vector<PieceTicket> taken;
  auto room = aEngine.freeBytes_;
  for (const auto& choice : choices) {
    auto& [order, addedAt, waiting] = *choice.entry_;
    while (!waiting.empty() && taken.size() < aEngine.batch_ &&
           order.resultBytes_ <= room) {
      taken.push_back({ .order_ = order.id_, .piece_ = waiting.back() });
      waiting.pop_back();
      --waiting_;
      room -= order.resultBytes_;
    }
  }
  return taken;
}

auto StageQueue::TakeOverdue(TimePoint aNow) -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, entry] : entries_) {
    if (!entry.waiting_.empty() && entry.order_.deadline_ <= aNow) {
      overdue.push_back(id);
    }
  }
  for (const auto id : overdue) {
    Cancel(id);
  }
  return overdue;
}

auto StageQueue::CountBefore(int aRank, TimePoint aDueAt) const -> std::size_t
{
  const auto due = EffectiveDue(aRank, aDueAt);
  std::size_t count = 0;
  for (const auto& [id, entry] : entries_) {
    if (EffectiveDue(entry.order_.rank_, entry.order_.dueAt_) <= due) {
      count += entry.waiting_.size();
    }
  }
  return count;
}

auto StageQueue::Orders() const -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, entry] : entries_) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace goldcrestcroft
