#include "LimitHistory.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Changes that are told apart; before them the most of each counts. Bounds
 * the memory where an operator changes limits without end. */
constexpr std::size_t kMostSpans = 64;

auto MostOf(const ClientLimits& aOne, const ClientLimits& aOther)
  -> ClientLimits
{
  return { .maxHeaderBytes_ =
             std::max(aOne.maxHeaderBytes_, aOther.maxHeaderBytes_),
           .maxBodyBytes_ = std::max(aOne.maxBodyBytes_, aOther.maxBodyBytes_),
           .headerTimeout_ =
             std::max(aOne.headerTimeout_, aOther.headerTimeout_),
           .idleTimeout_ = std::max(aOne.idleTimeout_, aOther.idleTimeout_) };
}

} // namespace

auto LimitHistory::OnLimits(const ClientLimits& aLimits, TimePoint aNow) -> void
{
  if (spans_.back().limits_ == aLimits) {
    return;
  }
  spans_.push_back({ .limits_ = aLimits, .from_ = aNow });
  // No connection rests for longer than the most of all spans allows.
  const auto rest = MostSince(TimePoint{}).idleTimeout_;
  while (spans_.size() > 1 && aNow - spans_[1].from_ > rest) {
    spans_.pop_front();
  }
  if (spans_.size() > kMostSpans) {
    spans_[1].limits_ = MostOf(spans_[0].limits_, spans_[1].limits_);
    spans_.pop_front();
  }
}

auto LimitHistory::MostSince(TimePoint aTime) const -> ClientLimits
{
  auto most = spans_.back().limits_;
  for (auto span = spans_.rbegin(); span != spans_.rend(); ++span) {
    most = MostOf(most, span->limits_);
    if (span->from_ <= aTime) {
      break;
    }
  }
  return most;
}

} // namespace goldcrestcroft
