#include "LimitHistory.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

// Maximum number of sets of limits that are kept apart; earlier ones are merged
// into their maxima. Bounds the memory if an operator keeps changing limits.
constexpr std::size_t kMaxSpans = 64;

auto MaxOf(const ClientLimits& aLeft, const ClientLimits& aRight)
  -> ClientLimits
{
  return { .maxHeaderBytes_ =
             std::max(aLeft.maxHeaderBytes_, aRight.maxHeaderBytes_),
           .maxBodyBytes_ = std::max(aLeft.maxBodyBytes_, aRight.maxBodyBytes_),
           .headerTimeout_ =
             std::max(aLeft.headerTimeout_, aRight.headerTimeout_),
           .idleTimeout_ = std::max(aLeft.idleTimeout_, aRight.idleTimeout_) };
}

} // namespace

auto LimitHistory::OnLimits(const ClientLimits& aLimits, TimePoint aNow) -> void
{
  if (spans_.back().limits_ == aLimits) {
    return;
  }
  spans_.push_back({ .limits_ = aLimits, .from_ = aNow });
  // No connection stays idle for longer than the longest timeout of all spans.
  const auto maxIdle = MaxSince(TimePoint{}).idleTimeout_;
  while (spans_.size() > 1 && aNow - spans_[1].from_ > maxIdle) {
    spans_.pop_front();
  }
  if (spans_.size() > kMaxSpans) {
    spans_[1].limits_ = MaxOf(spans_[0].limits_, spans_[1].limits_);
    spans_.pop_front();
  }
}

auto LimitHistory::MaxSince(TimePoint aTime) const -> ClientLimits
{
  auto maxima = spans_.back().limits_;
  for (auto span = spans_.rbegin(); span != spans_.rend(); ++span) {
    maxima = MaxOf(maxima, span->limits_);
    if (span->from_ <= aTime) {
      break;
    }
  }
  return maxima;
}

} // namespace goldcrestcroft
