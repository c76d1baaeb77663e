#include "PermitIssuer.h"

#include "LostRunReports.h"

#include <algorithm>

namespace goldcrestcroft {

auto PermitIssuer::SetHosts(std::vector<std::string> aHosts, std::string aSelf,
                            TimePoint aNow) -> void
{
  std::sort(aHosts.begin(), aHosts.end());
  self_ = std::move(aSelf);
  // A host that was alone did not learn who owned the rates meanwhile.
  const auto wasAlone = hosts_.size() <= 1 && aHosts.size() > 1;
  undisturbedSince_ = wasAlone ? aNow : undisturbedSince_.value_or(aNow);
  if (aHosts == hosts_) {
    return;
  }
  std::erase_if(removed_, [&](const auto& aRemoved) {
    return aNow - aRemoved.at_ >= options_.reducedFor_;
  });
  for (const auto& host : hosts_) {
    if (!std::binary_search(aHosts.begin(), aHosts.end(), host)) {
      removed_.push_back({ .host_ = host, .at_ = aNow });
    }
  }
  hosts_ = std::move(aHosts);
  owners_.clear();
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

auto PermitIssuer::IsEstablished(const EngineIncarnation& aIncarnation,
                                 TimePoint aNow) -> bool
{
  const auto& owners = Owners(aIncarnation);
  if (owners.empty() || owners.front() != self_ || !undisturbedSince_ ||
      aNow - *undisturbedSince_ < options_.reducedFor_) {
    return false;
  }
  std::vector<std::string> earlier{ self_ };
  for (const auto& removed : removed_) {
    if (aNow - removed.at_ < options_.reducedFor_) {
      earlier.push_back(removed.host_);
    }
  }
  return OwnersOf(Fingerprint(aIncarnation.first, aIncarnation.second), earlier,
                  1)
           .front() == self_;
}

auto PermitIssuer::Take(const EngineIncarnation& aIncarnation,
                        double aPerSecond, Duration aMaxWait, TimePoint aNow)
  -> Permit
{
  auto& rate = rates_[aIncarnation];
  rate.askedAt_ = aNow;
  const auto full = IsEstablished(aIncarnation, aNow);
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
