#include "FailureDetector.h"

#include <algorithm>
#include <bit>

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

auto FailureDetector::Queue(const PeerNews& aNews) -> void
{
  queue_[aNews.record_.host_] = { .news_ = aNews };
  pushes_ = true;
}

auto FailureDetector::TakeNews() -> std::vector<PeerNews>
{
  const auto doublings = std::bit_width(Size());
  const auto repeats =
    options_.repeatsPerDoubling_ * static_cast<std::uint32_t>(doublings);
  std::vector<Queued*> order;
  order.reserve(queue_.size());
  for (auto& [host, queued] : queue_) {
    order.push_back(&queued);
  }
  // The newest first: old news has most likely arrived.
  const auto count = std::min(order.size(), options_.newsPerMessage_);
  std::partial_sort(order.begin(), order.begin() + static_cast<long>(count),
                    order.end(), [](const Queued* aLeft, const Queued* aRight) {
                      return aLeft->sent_ < aRight->sent_;
                    });
  order.resize(count);
  std::vector<PeerNews> news;
  news.reserve(count + 1);
  for (auto* queued : order) {
    news.push_back(queued->news_);
    ++queued->sent_;
  }
  std::erase_if(
    queue_, [&](const auto& aItem) { return aItem.second.sent_ >= repeats; });
  return news;
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

auto FailureDetector::TellAccused(ProbeMessage& aMessage,
                                  const std::string& aAddress) const -> void
{
  const auto host = byAddress_.find(aAddress);
  const auto entry =
    host == byAddress_.end() ? entries_.end() : entries_.find(host->second);
  if (entry != entries_.end() &&
      entry->second.news_.state_ != PeerState::Live) {
    aMessage.news_.push_back(entry->second.news_);
  }
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

auto FailureDetector::Push() -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  for (const auto& address : SomePeers(options_.fanOut_, "")) {
    out.push_back({ address, Message(ProbeKind::News, 0) });
  }
  return out;
}

auto FailureDetector::PushIfNew(std::vector<Outgoing>& aOut, TimePoint aNow)
  -> void
{
  if (!pushes_ || aNow - pushedAt_ < options_.pushGap_) {
    return;
  }
  pushes_ = false;
  pushedAt_ = aNow;
  auto news = Push();
  aOut.insert(aOut.end(), std::make_move_iterator(news.begin()),
              std::make_move_iterator(news.end()));
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

auto FailureDetector::LearnOfSelf(const PeerNews& aNews) -> void
{
  const auto& record = aNews.record_;
  if (record.incarnation_ > self_.incarnation_) {
    // A life that counts as later, as after a step of the clock.
    self_.incarnation_ = record.incarnation_ + 1;
    self_.heartbeat_ = 0;
    pushes_ = true;
    return;
  }
  const auto accused = record.incarnation_ == self_.incarnation_ &&
                       record.heartbeat_ >= self_.heartbeat_ &&
                       aNews.state_ != PeerState::Live;
  if (accused) {
    self_.heartbeat_ = record.heartbeat_ + 1;
    pushes_ = true;
    changes_.push_back({ .host_ = self_.host_,
                         .from_ = aNews.state_,
                         .to_ = PeerState::Live,
                         .reason_ = "accused" });
  }
}

auto FailureDetector::Set(Entry& aEntry, const PeerNews& aNews,
                          const std::string& aReason, TimePoint aNow) -> void
{
  const auto from = aEntry.news_.state_;
  const auto leaves =
    aNews.record_.leaving_ ||
    (aEntry.news_.record_.leaving_ &&
     aEntry.news_.record_.incarnation_ == aNews.record_.incarnation_);
  Unmap(aEntry.news_.record_);
  aEntry.news_ = aNews;
  aEntry.news_.record_.leaving_ = leaves;
  aEntry.since_ = aNow;
  byAddress_[aNews.record_.peerAddress_] = aNews.record_.host_;
  running_ += from == PeerState::Gone ? 1 : 0;
  running_ -= aNews.state_ == PeerState::Gone ? 1 : 0;
  suspected_ += aNews.state_ == PeerState::Suspected ? 1 : 0;
  suspected_ -= from == PeerState::Suspected ? 1 : 0;
  changes_.push_back({ .host_ = aNews.record_.host_,
                       .from_ = from,
                       .to_ = aNews.state_,
                       .reason_ = aReason });
}

auto FailureDetector::LearnOne(const PeerNews& aNews,
                               const std::string& aReason, TimePoint aNow)
  -> bool
{
  const auto& record = aNews.record_;
  if (record.host_ == self_.host_) {
    LearnOfSelf(aNews);
    return false;
  }
  if (record.host_.Empty()) {
    return false;
  }
  const auto found = entries_.find(record.host_);
  if (found != entries_.end()) {
    const auto isNew = aNews.Overrides(found->second.news_);
    if (isNew) {
      Set(found->second, aNews, aReason, aNow);
    }
    return isNew;
  }
  if (aNews.state_ == PeerState::Gone ||
      entries_.size() >= options_.capacity_) {
    return false;
  }
  entries_.emplace(record.host_, Entry{ .news_ = aNews, .since_ = aNow });
  byAddress_[record.peerAddress_] = record.host_;
  ++running_;
  suspected_ += aNews.state_ == PeerState::Suspected ? 1 : 0;
  changes_.push_back(
    { .host_ = record.host_, .to_ = aNews.state_, .reason_ = aReason });
  return true;
}

auto FailureDetector::LearnAndPassOn(const PeerNews& aNews,
                                     const std::string& aReason, TimePoint aNow)
  -> void
{
  if (LearnOne(aNews, aReason, aNow)) {
    Queue(entries_.at(aNews.record_.host_).news_);
  }
}

auto FailureDetector::Learn(const std::vector<PeerNews>& aNews, TimePoint aNow)
  -> void
{
  for (const auto& news : aNews) {
    LearnOne(news, "listed", aNow);
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

auto FailureDetector::Unmap(const PeerRecord& aRecord) -> void
{
  // The address may be another host's by now.
  const auto found = byAddress_.find(aRecord.peerAddress_);
  if (found != byAddress_.end() && found->second == aRecord.host_) {
    byAddress_.erase(found);
  }
}

auto FailureDetector::Forget(TimePoint aNow) -> void
{
  if (aNow - forgotAt_ < options_.forgetAfter_ / 8) {
    return;
  }
  forgotAt_ = aNow;
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    const auto forgotten = entry.news_.state_ == PeerState::Gone &&
                           aNow - entry.since_ >= options_.forgetAfter_;
    if (forgotten) {
      Unmap(entry.news_.record_);
    }
    return forgotten;
  });
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
