#include "FailureDetector.h"

#include <algorithm>

namespace goldcrestcroft {

FailureDetector::FailureDetector(Options aOptions, std::uint64_t aSeed,
                                 TimePoint aNow)
  : options_(std::move(aOptions))
  , self_(options_.self_)
  , random_(aSeed)
  , lastReceivedAt_(aNow)
  , nextPing_(aNow)
  , lastTick_(aNow)
  , prunedAt_(aNow)
{
}

auto FailureDetector::Message(ProbeKind aKind, std::uint64_t aProbe)
  -> ProbeMessage
{
  return { .sender_ = self_,
           .kind_ = aKind,
           .probe_ = aProbe,
           .hosts_ = static_cast<std::uint32_t>(Size()),
           .updates_ = TakeUpdates() };
}

auto FailureDetector::EntryAt(const std::string& aAddress) -> Entry*
{
  const auto host = byAddress_.find(aAddress);
  if (host == byAddress_.end()) {
    return nullptr;
  }
  const auto entry = entries_.find(host->second);
  return entry == entries_.end() ? nullptr : &entry->second;
}

auto FailureDetector::SamplePeers(PeerState aState, std::size_t aMax,
                                  const std::string& aExcept)
  -> std::vector<std::string>
{
  std::vector<std::string> addresses;
  for (const auto& [host, entry] : entries_) {
    const auto& address = entry.update_.record_.peerAddress_;
    if (entry.update_.state_ == aState && address != aExcept) {
      addresses.push_back(address);
    }
  }
  std::vector<std::string> sampled;
  std::sample(addresses.begin(), addresses.end(), std::back_inserter(sampled),
              aMax, random_);
  return sampled;
}

auto FailureDetector::SetLeaving() -> void
{
  self_.leaving_ = true;
  ++self_.heartbeat_;
  pushPending_ = true;
}

auto FailureDetector::SetCallerAddress(std::string aAddress) -> void
{
  if (self_.callerAddress_ != aAddress) {
    self_.callerAddress_ = std::move(aAddress);
    ++self_.heartbeat_;
    pushPending_ = true;
  }
}

auto FailureDetector::OnMessage(const ProbeMessage& aMessage, TimePoint aNow)
  -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  const auto& sender = aMessage.sender_;
  if (sender.host_ == self_.host_) {
    return out;
  }
  lastReceivedAt_ = aNow;
  LearnAndDisseminate({ .record_ = sender }, "heard", aNow);
  for (const auto& update : aMessage.updates_) {
    LearnAndDisseminate(update, "told", aNow);
  }
  const auto send = [&](const std::string& aAddress, ProbeMessage aSent) {
    AddUpdateAboutReceiver(aSent, aAddress);
    out.push_back({ aAddress, std::move(aSent) });
  };
  if (aMessage.kind_ == ProbeKind::Ping) {
    send(sender.peerAddress_, Message(ProbeKind::Ack, aMessage.probe_));
  }
  if (aMessage.kind_ == ProbeKind::PingRequest) {
    const auto probe = ++lastProbe_;
    relays_[probe] = { .address_ = sender.peerAddress_,
                       .probe_ = aMessage.probe_,
                       .askedAt_ = aNow };
    send(aMessage.subject_, Message(ProbeKind::Ping, probe));
  }
  if (aMessage.kind_ == ProbeKind::Ack) {
    probes_.erase(aMessage.probe_);
    const auto relay = relays_.find(aMessage.probe_);
    if (relay != relays_.end()) {
      send(relay->second.address_,
           Message(ProbeKind::Ack, relay->second.probe_));
      relays_.erase(relay);
    }
  }
  const auto* entry = EntryAt(sender.peerAddress_);
  const auto senderNotLive =
    entry != nullptr && entry->update_.state_ != PeerState::Live;
  if (senderNotLive && out.empty()) {
    send(sender.peerAddress_, Message(ProbeKind::Gossip, 0));
  }
  PushIfNew(out, aNow);
  return out;
}

auto FailureDetector::EndProbes(std::vector<Outgoing>& aOut, TimePoint aNow)
  -> void
{
  for (auto& [number, probe] : probes_) {
    if (probe.indirectProbesSent_ ||
        aNow - probe.sentAt_ < options_.ackTimeout_) {
      continue;
    }
    probe.indirectProbesSent_ = true;
    for (const auto& intermediary : SamplePeers(
           PeerState::Live, options_.indirectProbes_, probe.address_)) {
      auto message = Message(ProbeKind::PingRequest, number);
      message.subject_ = probe.address_;
      aOut.push_back({ intermediary, std::move(message) });
    }
  }
  for (auto next = probes_.begin(); next != probes_.end();) {
    const auto& probe = next->second;
    if (aNow - probe.sentAt_ < options_.probeTimeout_) {
      ++next;
      continue;
    }
    auto* entry = EntryAt(probe.address_);
    const auto received = lastReceivedAt_ >= probe.sentAt_;
    if (entry != nullptr && received &&
        entry->update_.state_ == PeerState::Live) {
      auto update = entry->update_;
      update.state_ = PeerState::Suspected;
      Set(*entry, update, "no_answer", aNow);
      Queue(update);
      auto message = Message(ProbeKind::Gossip, 0);
      AddUpdateAboutReceiver(message, probe.address_);
      aOut.push_back({ probe.address_, std::move(message) });
    }
    next = probes_.erase(next);
  }
  std::erase_if(relays_, [&](const auto& aItem) {
    return aNow - aItem.second.askedAt_ >= options_.probeTimeout_;
  });
}

auto FailureDetector::EndSuspicions(TimePoint aNow) -> void
{
  if (suspected_ == 0) {
    return;
  }
  for (auto& [host, entry] : entries_) {
    const auto expired = entry.update_.state_ == PeerState::Suspected &&
                         aNow - entry.since_ >= options_.suspicionTimeout_ &&
                         lastReceivedAt_ >= entry.since_;
    if (expired) {
      auto update = entry.update_;
      update.state_ = PeerState::Gone;
      Set(entry, update, "not_refuted", aNow);
      Queue(update);
    }
  }
}

auto FailureDetector::NextRejoinTarget(
  const std::vector<std::string>& aAddresses) -> std::optional<std::string>
{
  std::vector<std::string> candidates;
  for (const auto& address : aAddresses) {
    const auto* entry = EntryAt(address);
    const auto running =
      entry != nullptr && entry->update_.state_ != PeerState::Gone;
    if (!running && address != self_.peerAddress_) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[UniformBelow(random_, candidates.size())];
}

auto FailureDetector::NextTarget(const std::vector<std::string>& aAddresses)
  -> std::optional<std::string>
{
  if (running_ == 0 || ++targetsChosen_ % options_.rejoinEvery_ == 0) {
    if (auto rejoinTarget = NextRejoinTarget(aAddresses)) {
      return rejoinTarget;
    }
  }
  while (true) {
    if (round_.empty()) {
      for (const auto& [host, entry] : entries_) {
        if (entry.update_.state_ != PeerState::Gone) {
          round_.push_back(entry.update_.record_.peerAddress_);
        }
      }
      if (round_.empty()) {
        return std::nullopt;
      }
      std::shuffle(round_.begin(), round_.end(), random_);
    }
    auto address = std::move(round_.back());
    round_.pop_back();
    const auto* entry = EntryAt(address);
    if (entry != nullptr && entry->update_.state_ != PeerState::Gone) {
      return address;
    }
  }
}

auto FailureDetector::Tick(const std::vector<std::string>& aAddresses,
                           TimePoint aNow) -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  const auto pause = aNow - std::exchange(lastTick_, aNow);
  if (pause >= options_.localPauseThreshold_) {
    // This process was paused and received nothing, which is no evidence
    // against the other hosts.
    probes_.clear();
    lastReceivedAt_ += pause;
    for (auto& [host, entry] : entries_) {
      entry.since_ += pause;
    }
  }
  EndProbes(out, aNow);
  EndSuspicions(aNow);
  Forget(aNow);
  if (aNow >= nextPing_) {
    const auto severalSuspected = suspected_ > 1;
    nextPing_ =
      aNow + (severalSuspected ? options_.fastPeriod_ : options_.period_);
    if (const auto target = NextTarget(aAddresses)) {
      const auto probe = ++lastProbe_;
      probes_[probe] = { .address_ = *target, .sentAt_ = aNow };
      auto message = Message(ProbeKind::Ping, probe);
      AddUpdateAboutReceiver(message, *target);
      out.push_back({ *target, std::move(message) });
    }
  }
  PushIfNew(out, aNow);
  return out;
}

auto FailureDetector::Peers(TimePoint aNow) const -> std::vector<PeerUpdate>
{
  return IsIsolated(aNow) ? std::vector<PeerUpdate>{} : WholeList();
}

auto FailureDetector::WholeList() const -> std::vector<PeerUpdate>
{
  std::vector<PeerUpdate> peers;
  peers.reserve(entries_.size());
  for (const auto& [host, entry] : entries_) {
    if (entry.update_.state_ != PeerState::Gone) {
      peers.push_back(entry.update_);
    }
  }
  return peers;
}

auto FailureDetector::TakeChanges() -> std::vector<Change>
{
  return std::exchange(changes_, {});
}

} // namespace goldcrestcroft
