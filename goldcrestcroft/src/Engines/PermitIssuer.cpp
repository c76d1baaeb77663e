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
  keepers_.clear();
  for (auto& [start, rate] : rates_) {
    if (!IsFirst(start)) {
      rate.firstSince_.reset();
    }
  }
}

auto PermitIssuer::Keepers(const EngineStart& aStart)
  -> const std::vector<std::string>&
{
  auto& keepers = keepers_[aStart];
  if (keepers.empty()) {
    keepers = KeepersOf(Fingerprint(aStart.first, aStart.second), hosts_,
                        options_.keepers_);
  }
  return keepers;
}

auto PermitIssuer::IsFirst(const EngineStart& aStart) -> bool
{
  const auto& keepers = Keepers(aStart);
  return !keepers.empty() && keepers.front() == self_;
}

auto PermitIssuer::Take(const EngineStart& aStart, double aPerSecond,
                        Duration aPatience, TimePoint aNow) -> Permit
{
  auto& rate = rates_[aStart];
  rate.askedAt_ = aNow;
  if (IsFirst(aStart)) {
    rate.firstSince_ = rate.firstSince_.value_or(aNow);
  }
  const auto whole =
    rate.firstSince_ && aNow - *rate.firstSince_ >= options_.cautiousFor_;
  const auto share =
    options_.cautiousShare_ * aPerSecond + options_.cautiousPerSecond_;
  const auto perSecond = std::max(
    whole ? aPerSecond : std::min(share, aPerSecond), options_.leastPerSecond_);
  const auto pace = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / perSecond));
  const auto patience = std::min(aPatience, options_.longestPatience_);
  // What is due was reckoned at another pace if the limit has changed.
  const auto due =
    std::clamp(rate.nextAt_, aNow,
               aNow + options_.longestPatience_ + options_.burst_ + pace);
  const auto wait =
    std::max<Duration>(due - aNow - options_.burst_, Duration{});
  if (wait > patience) {
    return { .wait_ = std::min(wait, options_.longestWait_) };
  }
  rate.nextAt_ = due + pace;
  return { .granted_ = true, .wait_ = wait };
}

auto PermitIssuer::OnPause() -> void
{
  for (auto& [start, rate] : rates_) {
    rate.firstSince_.reset();
  }
}

auto PermitIssuer::Expire(TimePoint aNow) -> void
{
  std::erase_if(rates_, [&](const auto& aItem) {
    return aNow - aItem.second.askedAt_ >= options_.forgetAfter_;
  });
  if (keepers_.size() > options_.mostCached_) {
    keepers_.clear();
  }
}

} // namespace goldcrestcroft
