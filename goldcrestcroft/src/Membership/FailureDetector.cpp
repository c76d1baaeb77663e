#include "FailureDetector.h"

#include <algorithm>

namespace goldcrestcroft {

FailureDetector::FailureDetector(Options aOptions, std::uint64_t aSeed,
                                 TimePoint aNow)
  : options_(std::move(aOptions))
  , self_(options_.self_)
  , random_(aSeed)
  , heardAt_(aNow)
  , nextPing_(aNow)
  , lastTick_(aNow)
  , forgotAt_(aNow)
{
}

auto FailureDetector::Message(ProbeKind aKind, std::uint64_t aProbe)
  -> ProbeMessage
{
  return { .sender_ = self_,
           .kind_ = aKind,
           .probe_ = aProbe,
           .hosts_ = static_cast<std::uint32_t>(Size()),
           .news_ = TakeNews() };
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

auto FailureDetector::SomePeers(std::size_t aMost, const std::string& aExcept)
  -> std::vector<std::string>
{
  std::vector<std::string> addresses;
  for (const auto& [host, entry] : entries_) {
    const auto& address = entry.news_.record_.peerAddress_;
    if (entry.news_.state_ == PeerState::Live && address != aExcept) {
      addresses.push_back(address);
    }
  }
  std::vector<std::string> some;
  std::sample(addresses.begin(), addresses.end(), std::back_inserter(some),
              aMost, random_);
  return some;
}

auto FailureDetector::SetLeaving() -> void
{
  self_.leaving_ = true;
  ++self_.heartbeat_;
  pushes_ = true;
}

auto FailureDetector::SetCallerAddress(std::string aAddress) -> void
{
  if (self_.callerAddress_ != aAddress) {
    self_.callerAddress_ = std::move(aAddress);
    ++self_.heartbeat_;
    pushes_ = true;
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
  heardAt_ = aNow;
  LearnAndPassOn({ .record_ = sender }, "heard", aNow);
  for (const auto& news : aMessage.news_) {
    LearnAndPassOn(news, "told", aNow);
  }
  const auto send = [&](const std::string& aAddress, ProbeMessage aSent) {
    TellAccused(aSent, aAddress);
    out.push_back({ aAddress, std::move(aSent) });
  };
  if (aMessage.kind_ == ProbeKind::Ping) {
    send(sender.peerAddress_, Message(ProbeKind::Ack, aMessage.probe_));
  }
  if (aMessage.kind_ == ProbeKind::AskPing) {
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
  const auto accused =
    entry != nullptr && entry->news_.state_ != PeerState::Live;
  if (accused && out.empty()) {
    send(sender.peerAddress_, Message(ProbeKind::News, 0));
  }
  PushIfNew(out, aNow);
  return out;
}

auto FailureDetector::EndProbes(std::vector<Outgoing>& aOut, TimePoint aNow)
  -> void
{
  for (auto& [number, probe] : probes_) {
    if (probe.helpersAsked_ || aNow - probe.sentAt_ < options_.ackTimeout_) {
      continue;
    }
    probe.helpersAsked_ = true;
    for (const auto& helper : SomePeers(options_.helpers_, probe.address_)) {
      auto message = Message(ProbeKind::AskPing, number);
      message.subject_ = probe.address_;
      aOut.push_back({ helper, std::move(message) });
    }
  }
  for (auto next = probes_.begin(); next != probes_.end();) {
    const auto& probe = next->second;
    if (aNow - probe.sentAt_ < options_.probeTimeout_) {
      ++next;
      continue;
    }
    auto* entry = EntryAt(probe.address_);
    const auto heard = heardAt_ >= probe.sentAt_;
    if (entry != nullptr && heard && entry->news_.state_ == PeerState::Live) {
      auto news = entry->news_;
      news.state_ = PeerState::Suspected;
      Set(*entry, news, "no_answer", aNow);
      Queue(news);
      auto message = Message(ProbeKind::News, 0);
      TellAccused(message, probe.address_);
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
    const auto over = entry.news_.state_ == PeerState::Suspected &&
                      aNow - entry.since_ >= options_.suspicion_ &&
                      heardAt_ >= entry.since_;
    if (over) {
      auto news = entry.news_;
      news.state_ = PeerState::Gone;
      Set(entry, news, "not_refuted", aNow);
      Queue(news);
    }
  }
}

auto FailureDetector::NextStranger(const std::vector<std::string>& aAddresses)
  -> std::optional<std::string>
{
  std::vector<std::string> strangers;
  for (const auto& address : aAddresses) {
    const auto* entry = EntryAt(address);
    const auto running =
      entry != nullptr && entry->news_.state_ != PeerState::Gone;
    if (!running && address != self_.peerAddress_) {
      strangers.push_back(address);
    }
  }
  if (strangers.empty()) {
    return std::nullopt;
  }
  return strangers[UniformBelow(random_, strangers.size())];
}

auto FailureDetector::NextTarget(const std::vector<std::string>& aAddresses)
  -> std::optional<std::string>
{
  if (running_ == 0 || ++turns_ % options_.strangerEvery_ == 0) {
    if (auto stranger = NextStranger(aAddresses)) {
      return stranger;
    }
  }
  while (true) {
    if (round_.empty()) {
      for (const auto& [host, entry] : entries_) {
        if (entry.news_.state_ != PeerState::Gone) {
          round_.push_back(entry.news_.record_.peerAddress_);
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
    if (entry != nullptr && entry->news_.state_ != PeerState::Gone) {
      return address;
    }
  }
}

auto FailureDetector::Tick(const std::vector<std::string>& aAddresses,
                           TimePoint aNow) -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  const auto pause = aNow - std::exchange(lastTick_, aNow);
  if (pause >= options_.ownPause_) {
    // This host stood still and heard nobody; that is no news of the others.
    probes_.clear();
    heardAt_ += pause;
    for (auto& [host, entry] : entries_) {
      entry.since_ += pause;
    }
  }
  EndProbes(out, aNow);
  EndSuspicions(aNow);
  Forget(aNow);
  if (aNow >= nextPing_) {
    const auto alarmed = suspected_ > 1;
    nextPing_ = aNow + (alarmed ? options_.alarmedPeriod_ : options_.period_);
    if (const auto target = NextTarget(aAddresses)) {
      const auto probe = ++lastProbe_;
      probes_[probe] = { .address_ = *target, .sentAt_ = aNow };
      auto message = Message(ProbeKind::Ping, probe);
      TellAccused(message, *target);
      out.push_back({ *target, std::move(message) });
    }
  }
  PushIfNew(out, aNow);
  return out;
}

auto FailureDetector::Peers(TimePoint aNow) const -> std::vector<PeerNews>
{
  return IsAlone(aNow) ? std::vector<PeerNews>{} : WholeList();
}

auto FailureDetector::WholeList() const -> std::vector<PeerNews>
{
  std::vector<PeerNews> peers;
  peers.reserve(entries_.size());
  for (const auto& [host, entry] : entries_) {
    if (entry.news_.state_ != PeerState::Gone) {
      peers.push_back(entry.news_);
    }
  }
  return peers;
}

auto FailureDetector::TakeChanges() -> std::vector<Change>
{
  return std::exchange(changes_, {});
}

} // namespace goldcrestcroft
