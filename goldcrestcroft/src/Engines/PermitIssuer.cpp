#include "PermitIssuer.h"

#include "LostRunReports.h"

#include <algorithm>

namespace goldcrestcroft {

auto PermitIssuer::SetHosts(std::vector<std::string> aHosts, std::string aSelf)
  -> void
{
  std::sort(aHosts.begin(), aHosts.end());
  self_ = std::move(aSelf);
  if (aHosts == hosts_) {
    return;
  }
  hosts_ = std::move(aHosts);
  owners_.clear();
  for (auto& [incarnation, rate] : rates_) {
    if (!IsPrimary(incarnation)) {
      rate.primarySince_.reset();
    }
  }
}

auto PermitIssuer::Owners(const EngineIncarnation& aIncarnation)
  -> const std::vector<std::string>&
{
  auto& owners = owners_[aIncarnation];
  if (owners.empty()) {
    owners = OwnersOf(Fingerprint(aIncarnation.first, aIncarnation.second),
                      hosts_, options_.owners_);
  }
  return owners;
}

auto PermitIssuer::IsPrimary(const EngineIncarnation& aIncarnation) -> bool
{
  const auto& owners = Owners(aIncarnation);
  return !owners.empty() && owners.front() == self_;
}

auto PermitIssuer::Take(const EngineIncarnation& aIncarnation,
                        double aPerSecond, Duration aMaxWait, TimePoint aNow)
  -> Permit
{
  auto& rate = rates_[aIncarnation];
  rate.askedAt_ = aNow;
  if (IsPrimary(aIncarnation)) {
    rate.primarySince_ = rate.primarySince_.value_or(aNow);
  }
  const auto full =
    rate.primarySince_ && aNow - *rate.primarySince_ >= options_.reducedFor_;
  const auto share =
    options_.reducedShare_ * aPerSecond + options_.reducedPerSecond_;
  const auto perSecond = std::max(
    full ? aPerSecond : std::min(share, aPerSecond), options_.minPerSecond_);
  const auto interval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / perSecond));
  const auto maxWait = std::min(aMaxWait, options_.maxWait_);
  // If the limit has changed, the due time was computed at another rate.
  const auto due = std::clamp(
    rate.nextAt_, aNow, aNow + options_.maxWait_ + options_.burst_ + interval);
  const auto wait =
    std::max<Duration>(due - aNow - options_.burst_, Duration{});
  if (wait > maxWait) {
    return { .wait_ = std::min(wait, options_.maxRetryDelay_) };
  }
  rate.nextAt_ = due + interval;
  return { .granted_ = true, .wait_ = wait };
}

auto PermitIssuer::OnProcessPaused() -> void
{
  for (auto& [incarnation, rate] : rates_) {
    rate.primarySince_.reset();
  }
}

auto PermitIssuer::Expire(TimePoint aNow) -> void
{
  std::erase_if(rates_, [&](const auto& aItem) {
    return aNow - aItem.second.askedAt_ >= options_.forgetAfter_;
  });
  if (owners_.size() > options_.maxCached_) {
    owners_.clear();
  }
}

} // namespace goldcrestcroft
