#include "FailureDetector.h"

#include <algorithm>
#include <bit>

namespace goldcrestcroft {

auto FailureDetector::Queue(const PeerUpdate& aUpdate) -> void
{
  queue_[aUpdate.record_.host_] = { .update_ = aUpdate };
  pushPending_ = true;
}

auto FailureDetector::TakeUpdates() -> std::vector<PeerUpdate>
{
  const auto doublings = std::bit_width(Size());
  const auto maxSends =
    options_.sendsPerDoubling_ * static_cast<std::uint32_t>(doublings);
  std::vector<Queued*> pending;
  pending.reserve(queue_.size());
  for (auto& [host, queued] : queue_) {
    pending.push_back(&queued);
  }
  // Updates that were sent least often go first: the others have most likely
  // arrived.
  const auto count = std::min(pending.size(), options_.updatesPerMessage_);
  std::partial_sort(pending.begin(), pending.begin() + static_cast<long>(count),
                    pending.end(),
                    [](const Queued* aLeft, const Queued* aRight) {
                      return aLeft->sent_ < aRight->sent_;
                    });
  pending.resize(count);
  std::vector<PeerUpdate> updates;
  updates.reserve(count + 1);
  for (auto* queued : pending) {
    updates.push_back(queued->update_);
    ++queued->sent_;
  }
  std::erase_if(
    queue_, [&](const auto& aItem) { return aItem.second.sent_ >= maxSends; });
  return updates;
}

auto FailureDetector::AddUpdateAboutReceiver(ProbeMessage& aMessage,
                                             const std::string& aAddress) const
  -> void
{
  const auto host = byAddress_.find(aAddress);
  const auto entry =
    host == byAddress_.end() ? entries_.end() : entries_.find(host->second);
  if (entry != entries_.end() &&
      entry->second.update_.state_ != PeerState::Live) {
    aMessage.updates_.push_back(entry->second.update_);
  }
}

auto FailureDetector::Push() -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  for (const auto& address :
       SamplePeers(PeerState::Live, options_.fanOut_, "")) {
    out.push_back({ address, Message(ProbeKind::Gossip, 0) });
  }
  // A suspected host may run, and needs changes of the store as much as the
  // others. Updates about hosts reach it with their probes: a push of these to
  // suspected hosts as well made overload more likely during a rolling restart.
  for (const auto& address :
       SamplePeers(PeerState::Suspected, options_.suspectedFanOut_, "")) {
    auto message = WithoutUpdates();
    AddUpdateAboutReceiver(message, address);
    out.push_back({ address, std::move(message) });
  }
  return out;
}

auto FailureDetector::PushTo(const std::string& aAddress)
  -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  out.push_back({ aAddress, Message(ProbeKind::Gossip, 0) });
  return out;
}

auto FailureDetector::PushIfNew(std::vector<Outgoing>& aOut, TimePoint aNow)
  -> void
{
  if (!pushPending_ || aNow - pushedAt_ < options_.minPushInterval_) {
    return;
  }
  pushPending_ = false;
  pushedAt_ = aNow;
  for (const auto& address :
       SamplePeers(PeerState::Live, options_.fanOut_, "")) {
    aOut.push_back({ address, Message(ProbeKind::Gossip, 0) });
  }
}

auto FailureDetector::LearnAboutSelf(const PeerUpdate& aUpdate) -> void
{
  const auto& record = aUpdate.record_;
  if (record.incarnation_ > self_.incarnation_) {
    // A larger incarnation of this host is known, for example after a clock
    // step. The own one has to supersede it.
    self_.incarnation_ = record.incarnation_ + 1;
    self_.heartbeat_ = 0;
    pushPending_ = true;
    return;
  }
  const auto mustRefute = record.incarnation_ == self_.incarnation_ &&
                          record.heartbeat_ >= self_.heartbeat_ &&
                          aUpdate.state_ != PeerState::Live;
  if (mustRefute) {
    self_.heartbeat_ = record.heartbeat_ + 1;
    pushPending_ = true;
    changes_.push_back({ .host_ = self_.host_,
                         .from_ = aUpdate.state_,
                         .to_ = PeerState::Live,
                         .reason_ = "accused" });
  }
}

auto FailureDetector::Set(Entry& aEntry, const PeerUpdate& aUpdate,
                          const std::string& aReason, TimePoint aNow) -> void
{
  const auto from = aEntry.update_.state_;
  const auto leaves =
    aUpdate.record_.leaving_ ||
    (aEntry.update_.record_.leaving_ &&
     aEntry.update_.record_.incarnation_ == aUpdate.record_.incarnation_);
  Unmap(aEntry.update_.record_);
  aEntry.update_ = aUpdate;
  aEntry.update_.record_.leaving_ = leaves;
  aEntry.since_ = aNow;
  byAddress_[aUpdate.record_.peerAddress_] = aUpdate.record_.host_;
  running_ += from == PeerState::Gone ? 1 : 0;
  running_ -= aUpdate.state_ == PeerState::Gone ? 1 : 0;
  suspected_ += aUpdate.state_ == PeerState::Suspected ? 1 : 0;
  suspected_ -= from == PeerState::Suspected ? 1 : 0;
  changes_.push_back({ .host_ = aUpdate.record_.host_,
                       .from_ = from,
                       .to_ = aUpdate.state_,
                       .reason_ = aReason });
}

auto FailureDetector::LearnOne(const PeerUpdate& aUpdate,
                               const std::string& aReason, TimePoint aNow)
  -> bool
{
  const auto& record = aUpdate.record_;
  if (record.host_ == self_.host_) {
    LearnAboutSelf(aUpdate);
    return false;
  }
  if (record.host_.Empty()) {
    return false;
  }
  const auto found = entries_.find(record.host_);
  if (found != entries_.end()) {
    const auto isNew = aUpdate.Overrides(found->second.update_);
    if (isNew) {
      Set(found->second, aUpdate, aReason, aNow);
    }
    return isNew;
  }
  if (aUpdate.state_ == PeerState::Gone ||
      entries_.size() >= options_.capacity_) {
    return false;
  }
  entries_.emplace(record.host_, Entry{ .update_ = aUpdate, .since_ = aNow });
  byAddress_[record.peerAddress_] = record.host_;
  ++running_;
  suspected_ += aUpdate.state_ == PeerState::Suspected ? 1 : 0;
  changes_.push_back(
    { .host_ = record.host_, .to_ = aUpdate.state_, .reason_ = aReason });
  return true;
}

auto FailureDetector::LearnAndDisseminate(const PeerUpdate& aUpdate,
                                          const std::string& aReason,
                                          TimePoint aNow) -> void
{
  if (LearnOne(aUpdate, aReason, aNow)) {
    Queue(entries_.at(aUpdate.record_.host_).update_);
  }
}

auto FailureDetector::Learn(const std::vector<PeerUpdate>& aUpdates,
                            TimePoint aNow) -> void
{
  for (const auto& update : aUpdates) {
    LearnOne(update, "listed", aNow);
  }
}

auto FailureDetector::Unmap(const PeerRecord& aRecord) -> void
{
  // The address may belong to another host by now.
  const auto found = byAddress_.find(aRecord.peerAddress_);
  if (found != byAddress_.end() && found->second == aRecord.host_) {
    byAddress_.erase(found);
  }
}

auto FailureDetector::Forget(TimePoint aNow) -> void
{
  if (aNow - prunedAt_ < options_.forgetAfter_ / 8) {
    return;
  }
  prunedAt_ = aNow;
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    const auto forgotten = entry.update_.state_ == PeerState::Gone &&
                           aNow - entry.since_ >= options_.forgetAfter_;
    if (forgotten) {
      Unmap(entry.update_.record_);
    }
    return forgotten;
  });
}

} // namespace goldcrestcroft
