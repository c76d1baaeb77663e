#include "PeerTable.h"

#include <algorithm>

namespace goldcrestcroft {

PeerTable::PeerTable(Options aOptions, TimePoint aNow)
  : options_(std::move(aOptions))
  , self_(options_.self_)
  , lastTick_(aNow)
{
}

auto PeerTable::Classify(const Entry& aEntry, TimePoint aNow) const -> PeerState
{
  const auto silence = aNow - aEntry.lastReceivedAt_;
  if (silence >= Scaled(options_.goneAfter_)) {
    return PeerState::Gone;
  }
  if (silence >= Scaled(options_.suspectAfter_)) {
    return PeerState::Suspected;
  }
  return aEntry.record_.leaving_ ? PeerState::Leaving : PeerState::Live;
}

auto PeerTable::StateOf(const HostId& aHost, TimePoint aNow) const -> PeerState
{
  const auto found = entries_.find(aHost);
  return found == entries_.end() ? PeerState::Gone
                                 : Classify(found->second, aNow);
}

auto PeerTable::Tick(TimePoint aNow) -> std::vector<HostId>
{
  const auto pause = aNow - lastTick_;
  lastTick_ = aNow;
  std::vector<HostId> gone;
  for (auto& [host, entry] : entries_) {
    if (pause >= options_.suspectAfter_) {
      // This process was paused and received nothing, which is no evidence
      // against the peers.
      entry.lastReceivedAt_ += pause;
    }
    const auto state = Classify(entry, aNow);
    if (state == PeerState::Gone && !entry.reportedGone_) {
      entry.reportedGone_ = true;
      gone.push_back(host);
    }
  }
  std::erase_if(entries_, [&](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt_ >= options_.forgetAfter_;
  });
  return gone;
}

auto PeerTable::Beat() -> PeerRecord
{
  ++self_.heartbeat_;
  return self_;
}

auto PeerTable::OnRecord(const PeerRecord& aRecord, TimePoint aNow) -> bool
{
  if (aRecord.host_ == self_.host_ || aRecord.host_.Empty()) {
    return false;
  }
  const auto found = entries_.find(aRecord.host_);
  if (found == entries_.end()) {
    if (entries_.size() >= options_.capacity_) {
      return false;
    }
    entries_.emplace(aRecord.host_,
                     Entry{ .record_ = aRecord, .lastReceivedAt_ = aNow });
    return true;
  }
  auto& entry = found->second;
  const auto& known = entry.record_;
  if (aRecord.incarnation_ < known.incarnation_) {
    return false;
  }
  if (aRecord.incarnation_ == known.incarnation_ &&
      aRecord.heartbeat_ <= known.heartbeat_) {
    return false;
  }
  // A host is leaving for the rest of its incarnation, in whatever order its
  // records arrive.
  const auto leaving = aRecord.incarnation_ == known.incarnation_ &&
                       (known.leaving_ || aRecord.leaving_);
  entry.record_ = aRecord;
  entry.record_.leaving_ |= leaving;
  entry.lastReceivedAt_ = aNow;
  entry.reportedGone_ = false;
  return true;
}

auto PeerTable::HasEnded(const HostId& aHost, Incarnation aIncarnation,
                         TimePoint aNow) const -> bool
{
  if (aHost == self_.host_) {
    return aIncarnation < self_.incarnation_;
  }
  const auto found = entries_.find(aHost);
  if (found == entries_.end()) {
    return false;
  }
  return aIncarnation < found->second.record_.incarnation_ ||
         Classify(found->second, aNow) == PeerState::Gone;
}

auto PeerTable::Peers(TimePoint aNow) const -> std::vector<PeerRecord>
{
  std::vector<PeerRecord> peers;
  for (const auto& [host, entry] : entries_) {
    if (Classify(entry, aNow) != PeerState::Gone) {
      peers.push_back(entry.record_);
    }
  }
  return peers;
}

auto PeerTable::All() const -> std::vector<PeerRecord>
{
  std::vector<PeerRecord> records;
  for (const auto& [host, entry] : entries_) {
    records.push_back(entry.record_);
  }
  return records;
}

auto PeerTable::TakeDigest(std::size_t aMax, TimePoint aNow)
  -> std::vector<PeerRecord>
{
  // A record that is passed on restarts the silence timeout of its host at the
  // receiver, so only records received recently are passed on, starting with
  // those not passed on for the longest time.
  std::vector<Entry*> fresh;
  for (auto& [host, entry] : entries_) {
    if (aNow - entry.lastReceivedAt_ < Scaled(options_.suspectAfter_)) {
      fresh.push_back(&entry);
    }
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const Entry* aLeft, const Entry* aRight) {
              return aLeft->lastDigest_ < aRight->lastDigest_;
            });
  fresh.resize(std::min(fresh.size(), aMax));
  ++digestCount_;
  std::vector<PeerRecord> records;
  for (auto* entry : fresh) {
    entry->lastDigest_ = digestCount_;
    records.push_back(entry->record_);
  }
  return records;
}

} // namespace goldcrestcroft
