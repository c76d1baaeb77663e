#include "StageQueue.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

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

auto StageQueue::Plan(std::uint64_t aOrder, StagePlan aPlan) -> void
{
  plans_[aOrder] = aPlan;
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
  plans_.erase(aOrder);
  const auto found = entries_.find(aOrder);
  if (found != entries_.end()) {
    waiting_ -= found->second.waiting_.size();
    entries_.erase(found);
  }
}

auto StageQueue::TakeWaiting(std::uint64_t aOrder) -> std::vector<std::uint32_t>
{
  const auto found = entries_.find(aOrder);
  if (found == entries_.end()) {
    return {};
  }
  auto waiting = std::exchange(found->second.waiting_, {});
  waiting_ -= waiting.size();
  return waiting;
}

auto StageQueue::Find(std::uint64_t aOrder) const -> const StageOrder*
{
  const auto found = entries_.find(aOrder);
  return found == entries_.end() ? nullptr : &found->second.order_;
}

auto StageQueue::Rank(const FreeEngine& aEngine,
                      const std::vector<std::string>& aZones, TimePoint aNow)
  -> std::vector<Entry*>
{
  struct Choice
  {
    bool fresh_;
    bool late_;
    TimePoint due_;
    Entry* entry_;
  };
  std::vector<Choice> choices;
  for (auto& [id, entry] : entries_) {
    if (entry.waiting_.empty()) {
      continue;
    }
    const auto& order = entry.order_;
    auto due = order.dueAt_;
    const auto otherZone =
      order.zone_ != aEngine.zone_ &&
      std::find(aZones.begin(), aZones.end(), order.zone_) != aZones.end();
    const auto inTime =
      aNow + aEngine.callTime_ + options_.zoneSlack_ < order.dueAt_;
    if (otherZone && inTime && aNow - entry.addedAt_ < options_.maxZoneWait_) {
      continue;
    }
    due += otherZone ? options_.zonePenalty_ : Duration{};
    const auto late = aNow + aEngine.callTime_ > order.dueAt_;
    choices.push_back({ .fresh_ = !entry.begun_,
                        .late_ = late,
                        .due_ = due,
                        .entry_ = &entry });
  }
  // Due times alone determine the order while all orders can be on time; ranks
  // count once some cannot.
  const auto overloaded =
    std::any_of(choices.begin(), choices.end(),
                [](const Choice& aChoice) { return aChoice.late_; });
  if (overloaded && ++overloadedCalls_ % options_.dueOnlyEvery_ != 0) {
    for (auto& choice : choices) {
      choice.due_ = EffectiveDue(choice.entry_->order_.rank_, choice.due_);
    }
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& aLeft, const Choice& aRight) {
                     return std::tie(aLeft.late_, aLeft.fresh_, aLeft.due_) <
                            std::tie(aRight.late_, aRight.fresh_, aRight.due_);
                   });
  std::vector<Entry*> ranked;
  ranked.reserve(choices.size());
  for (const auto& choice : choices) {
    ranked.push_back(choice.entry_);
  }
  return ranked;
}

auto StageQueue::TakeCall(const FreeEngine& aEngine,
                          const std::vector<std::string>& aZones,
                          TimePoint aNow) -> std::vector<PieceTicket>
{
  std::vector<PieceTicket> taken;
  auto freeBytes = aEngine.freeBytes_;
  // Results at least as large as one that did not fit wait behind it.
  auto blocked = std::numeric_limits<double>::max();
  for (auto* entry : Rank(aEngine, aZones, aNow)) {
    auto& [order, addedAt, waiting, begun] = *entry;
    const auto slots = aEngine.batch_ - taken.size();
    if (slots == 0) {
      break;
    }
    const auto bytes = order.resultBytes_;
    const auto fitInto = [&](double aAvailable) {
      return bytes > 0.0
               ? static_cast<std::size_t>(std::max(aAvailable, 0.0) / bytes)
               : aEngine.batch_;
    };
    const auto fitting = fitInto(freeBytes);
    if (bytes >= blocked) {
      continue;
    }
    // An order is not split, since a part of its results would only occupy
    // memory, unless the engine could never take all of it.
    const auto maxPieces =
      std::min(aEngine.batch_, fitInto(aEngine.totalBytes_));
    const auto splits = begun || waiting.size() > maxPieces;
    const auto whole = waiting.size() <= std::min(slots, fitting);
    if (!whole && fitting < std::min(waiting.size(), maxPieces)) {
      blocked = bytes;
    }
    if (!whole && (!splits || fitting == 0)) {
      continue;
    }
    for (auto left = std::min(slots, fitting); left > 0 && !waiting.empty();
         --left) {
      taken.push_back({ .order_ = order.id_, .piece_ = waiting.back() });
      waiting.pop_back();
      --waiting_;
      freeBytes -= bytes;
      begun = true;
    }
  }
  return taken;
}

auto StageQueue::TakeExpired(TimePoint aNow) -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, entry] : entries_) {
    const auto& order = entry.order_;
    const auto expiresAt =
      std::min(order.deadline_,
               std::max(order.dueAt_, entry.addedAt_) + options_.maxLateness_);
    if (!entry.waiting_.empty() && expiresAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    Cancel(id);
  }
  return expired;
}

auto StageQueue::CountBefore(int aRank, TimePoint aDueAt, TimePoint aNow) const
  -> std::size_t
{
  const auto due = EffectiveDue(aRank, aDueAt);
  const auto goesBefore = [&](int aOther, TimePoint aOtherDue) {
    return aOtherDue > aNow && EffectiveDue(aOther, aOtherDue) <= due;
  };
  std::size_t count = 0;
  for (const auto& [id, entry] : entries_) {
    const auto& order = entry.order_;
    count += goesBefore(order.rank_, order.dueAt_) ? entry.waiting_.size() : 0;
  }
  for (const auto& [id, plan] : plans_) {
    count += goesBefore(plan.rank_, plan.dueAt_) ? plan.pieces_ : 0;
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
