#include "FailureDetector.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace goldcrestcroft {

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

auto FailureDetector::Push() -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  for (const auto& address : SomePeers(options_.fanOut_, "")) {
    out.push_back({ address, Message(ProbeKind::News, 0) });
  }
  return out;
}

auto FailureDetector::PushTo(const std::string& aAddress)
  -> std::vector<Outgoing>
{
  std::vector<Outgoing> out;
  out.push_back({ aAddress, Message(ProbeKind::News, 0) });
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

} // namespace goldcrestcroft
