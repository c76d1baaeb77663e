#include "TableWatch.h"

#include <algorithm>
#include <cmath>

namespace goldcrestcroft {

auto ToString(TableWatch::Role aRole) -> std::string
{
  switch (aRole) {
    case TableWatch::Role::Reader:
      return "reader";
    case TableWatch::Role::SubstituteReader:
      return "stand_in";
    case TableWatch::Role::Listener:
      break;
  }
  return "listener";
}

TableWatch::TableWatch(Options aOptions, std::uint64_t aSeed)
  : options_(aOptions)
  , random_(aSeed)
  , spreadPosition_(UniformUnit(random_))
{
}

auto TableWatch::ShareOfBound(double aShare) const -> Duration
{
  return Duration(static_cast<Duration::rep>(
    aShare * static_cast<double>(options_.bound_.count())));
}

auto TableWatch::SpreadDelay() const -> Duration
{
  // The number of hosts that have read grows exponentially, from one to all, so
  // that few hosts read while the first reply is disseminated.
  const auto hosts =
    static_cast<double>(std::max<std::size_t>(place_.hosts_, 2));
  const auto at =
    1.0 + std::log(std::max(spreadPosition_, 1.0 / hosts)) / std::log(hosts);
  return ShareOfBound(options_.spreadShare_ * at);
}

auto TableWatch::IsStale(TimePoint aNow) const -> bool
{
  return !asOf_ || aNow - *asOf_ >= ShareOfBound(options_.staleShare_);
}

auto TableWatch::ReadsAt() const -> TimePoint
{
  const auto due =
    asOf_ ? *asOf_ + ShareOfBound(options_.staleShare_) + SpreadDelay()
          : TimePoint{};
  return std::max(due, backoffUntil_);
}

auto TableWatch::RoleAt(TimePoint aNow) const -> Role
{
  if (place_.reads_) {
    return Role::Reader;
  }
  return aNow < substituteUntil_ ? Role::SubstituteReader : Role::Listener;
}

auto TableWatch::Next(TimePoint aNow) const -> Step
{
  const auto waitsAtStore = RoleAt(aNow) != Role::Listener;
  const auto at = waitsAtStore ? backoffUntil_ : ReadsAt();
  if (aNow < at) {
    return { .time_ = at - aNow };
  }
  // With a stale view the read does not wait: the reply shows how old the view
  // is.
  const auto share =
    std::min(1.0, options_.waitShare_ * static_cast<double>(1 + place_.ahead_));
  return { .reads_ = true,
           .time_ = IsStale(aNow) ? Duration{} : ShareOfBound(share) };
}

auto TableWatch::Renew(TimePoint aAsOf, TimePoint aNow) -> bool
{
  const auto wasStale = IsStale(aNow);
  asOf_ = std::max(asOf_.value_or(aAsOf), aAsOf);
  return wasStale && !IsStale(aNow);
}

auto TableWatch::OnAnswered(TimePoint aSentAt, Duration aWait, TimePoint aNow)
  -> bool
{
  const auto wasKnown = asOf_.has_value();
  const auto renewed = Renew(std::min(aNow, aSentAt + aWait), aNow);
  if (wasKnown && renewed) {
    // A host that the store answers reads first the next time.
    spreadPosition_ = 0.0;
    substituteUntil_ = aNow + options_.bound_ * options_.substituteBounds_;
  }
  failures_ = 0;
  return renewed;
}

auto TableWatch::OnFailed(TimePoint aNow) -> void
{
  backoffUntil_ =
    aNow + Doubled(ShareOfBound(options_.backoffShare_), failures_++,
                   ShareOfBound(options_.staleShare_));
  substituteUntil_ = aNow;
  spreadPosition_ = UniformUnit(random_);
}

auto TableWatch::IsOverdue(TimePoint aSentAt, TimePoint aNow) const -> bool
{
  const auto timeout = Doubled(ShareOfBound(options_.replyTimeoutShare_),
                               failures_, options_.bound_);
  return aNow >= ReadsAt() && aNow - aSentAt >= timeout;
}

auto TableWatch::OnPeerView(TimePoint aAsOf, TimePoint aNow) -> bool
{
  return Renew(std::min(aAsOf, aNow), aNow);
}

} // namespace goldcrestcroft
