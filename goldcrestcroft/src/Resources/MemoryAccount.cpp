#include "MemoryAccount.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Share of the bound for requests that the complete requests of one client may
 * hold. At 120 MB the rest is one body of max_body_bytes. */
constexpr auto kMaxClientShare = 0.75;
/** Divisor of the bound for requests; a client with less than this besides its
 * largest request is not treated as flooding. Many ordinary clients may share
 * an address. */
constexpr std::size_t kFloodDivisor = 8;
/** Divisor of the bound for requests; evicting smaller ones for being slow
 * would free too little. */
constexpr std::size_t kSmallDivisor = 256;

} // namespace

MemoryAccount::Share::Share(MemoryAccount& aAccount, Holder aHolder,
                            std::function<void()> aOnEvict)
  : account_(aAccount)
  , holder_(aHolder)
  , onEvict_(std::move(aOnEvict))
  , windowBegin_(aHolder.since_)
{
  account_.shares_.insert(this);
}

MemoryAccount::Share::~Share()
{
  account_.Charge(*this, 0);
  account_.shares_.erase(this);
}

auto MemoryAccount::Share::Resize(std::size_t aBytes, TimePoint aNow) -> bool
{
  if (evicted_) {
    return false;
  }
  account_.Charge(*this, aBytes);
  if (!complete_ && holder_.kind_ == Kind::Request &&
      !account_.Admits(holder_.client_, aBytes)) {
    account_.Evict(*this);
  }
  account_.EvictExcess(aNow);
  return !evicted_;
}

auto MemoryAccount::Share::OnReceived(std::size_t aBytes, TimePoint aNow)
  -> void
{
  windowBytes_ += aBytes;
  if (aNow - windowBegin_ >= account_.options_.rateWindow_) {
    slowBefore_ = IsSlow(aNow);
    windowBegin_ = aNow;
    windowBytes_ = 0;
  }
}

auto MemoryAccount::Share::MarkComplete() -> bool
{
  // Several requests of a client may have been admitted before the first of
  // them was complete.
  if (!evicted_ && holder_.kind_ == Kind::Request &&
      !account_.Admits(holder_.client_, bytes_)) {
    account_.Evict(*this);
  }
  const auto bytes = bytes_;
  account_.Charge(*this, 0);
  complete_ = true;
  account_.Charge(*this, bytes);
  return !evicted_;
}

auto MemoryAccount::Share::IsSlow(TimePoint aNow) const -> bool
{
  const auto elapsed = aNow - windowBegin_;
  if (elapsed < account_.options_.rateWindow_) {
    return slowBefore_;
  }
  return static_cast<double>(windowBytes_) <
         static_cast<double>(account_.options_.minRequestRate_) *
           std::chrono::duration<double>(elapsed).count();
}

auto MemoryAccount::Share::Cost(TimePoint aNow) const -> double
{
  // The added millisecond orders requests of the same instant by size.
  const auto age = aNow - holder_.since_ + std::chrono::milliseconds{ 1 };
  return static_cast<double>(bytes_) *
         std::chrono::duration<double>(age).count();
}

auto MemoryAccount::Charge(Share& aShare, std::size_t aBytes) -> void
{
  const auto update = [&](std::size_t& aSum) {
    aSum = aSum - aShare.bytes_ + aBytes;
  };
  if (aShare.holder_.kind_ == Kind::Response) {
    update(responses_);
  } else {
    update(requests_);
    const auto client = clients_.try_emplace(aShare.holder_.client_).first;
    auto& usage = client->second;
    update(aShare.complete_ ? usage.complete_ : usage.incomplete_);
    if (aShare.complete_) {
      update(completeRequests_);
    }
    if (usage.incomplete_ + usage.complete_ == 0) {
      clients_.erase(client);
    }
  }
  aShare.bytes_ = aBytes;
}

auto MemoryAccount::Admits(std::uint64_t aClient, std::size_t aBytes) const
  -> bool
{
  const auto found = clients_.find(aClient);
  const auto own = found == clients_.end() ? 0 : found->second.complete_;
  const auto bound = options_.budget_.requests_;
  const auto ownBound =
    static_cast<std::size_t>(static_cast<double>(bound) * kMaxClientShare);
  return completeRequests_ + aBytes <= bound &&
         (own == 0 || own + aBytes <= ownBound);
}

auto MemoryAccount::EvictExcess(TimePoint aNow) -> void
{
  while (requests_ > options_.budget_.requests_) {
    auto* const request = ChooseRequest(aNow);
    if (request == nullptr) {
      break;
    }
    Evict(*request);
  }
  // Requests are within their bound now, or complete, so that responses hold
  // more than what is reserved for them.
  while (Total() > options_.budget_.total_) {
    auto* const response = ChooseResponse();
    if (response == nullptr) {
      break;
    }
    Evict(*response);
  }
}

auto MemoryAccount::Evict(Share& aShare) -> void
{
  Charge(aShare, 0);
  aShare.evicted_ = true;
  aShare.onEvict_();
}

auto MemoryAccount::FloodingClient() const -> std::optional<std::uint64_t>
{
  std::map<std::uint64_t, std::size_t> largest;
  for (const auto* share : shares_) {
    if (share->IsEvictable(Kind::Request) && share->bytes_ > 0) {
      auto& bytes = largest[share->holder_.client_];
      bytes = std::max(bytes, share->bytes_);
    }
  }
  std::optional<std::uint64_t> flooding;
  auto most = options_.budget_.requests_ / kFloodDivisor;
  for (const auto& [client, bytes] : largest) {
    const auto& usage = clients_.at(client);
    const auto held = usage.incomplete_ + usage.complete_ - bytes;
    if (held > most) {
      most = held;
      flooding = client;
    }
  }
  return flooding;
}

auto MemoryAccount::ChooseRequest(TimePoint aNow) const -> Share*
{
  const auto flooding = FloodingClient();
  const auto minSlowBytes = options_.budget_.requests_ / kSmallDivisor;
  Share* chosen = nullptr;
  auto chosenRank = std::pair(false, 0.0);
  for (auto* share : shares_) {
    if (!share->IsEvictable(Kind::Request) || share->bytes_ == 0 ||
        (flooding && share->holder_.client_ != *flooding)) {
      continue;
    }
    const auto slow = share->bytes_ >= minSlowBytes && share->IsSlow(aNow);
    const auto rank = std::pair(slow, share->Cost(aNow));
    if (chosen == nullptr || rank > chosenRank) {
      chosen = share;
      chosenRank = rank;
    }
  }
  return chosen;
}

auto MemoryAccount::ChooseResponse() const -> Share*
{
  Share* largest = nullptr;
  for (auto* share : shares_) {
    if (share->IsEvictable(Kind::Response) && share->bytes_ > 0 &&
        (largest == nullptr || share->bytes_ > largest->bytes_)) {
      largest = share;
    }
  }
  return largest;
}

} // namespace goldcrestcroft
