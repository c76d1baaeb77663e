#include "FleetView.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Callers use at most this many addresses of one response. */
constexpr std::size_t kMaxAddresses = 64;
/** The power of batch coordinators is compared with that of the host at this
 * rank by power, so that one or two strong hosts are not the only
 * coordinators. */
constexpr std::size_t kReferenceRank = 3;
/** Minimum power of a coordinator, as a share of the reference host's power. */
constexpr auto kMinPowerShare = 0.5;

} // namespace

auto FleetView::Coordinators() const -> std::vector<std::string>
{
  std::vector<double> powers;
  for (const auto& host : hosts_) {
    if (!host.leaving_) {
      powers.push_back(host.power_);
    }
  }
  std::sort(powers.rbegin(), powers.rend());
  const auto minPower =
    powers.empty()
      ? 0.0
      : powers[std::min(powers.size(), kReferenceRank) - 1] * kMinPowerShare;
  std::vector<std::string> ids;
  for (const auto& host : hosts_) {
    if (!host.leaving_ && host.power_ >= minPower) {
      ids.push_back(host.id_);
    }
  }
  return ids;
}

auto FleetView::Find(const std::string& aId) const -> const FleetHost*
{
  for (const auto& host : hosts_) {
    if (host.id_ == aId) {
      return &host;
    }
  }
  return nullptr;
}

auto ChooseAddresses(const FleetView& aView, const std::string& aZone,
                     std::size_t aMin) -> std::vector<std::string>
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& host : aView.hosts_) {
    const auto serves = !host.leaving_ && !host.suspected_;
    if (serves && !host.callerAddress_.empty()) {
      (host.zone_ == aZone ? near : far).push_back(host.callerAddress_);
    }
  }
  if (near.size() < aMin) {
    near.insert(near.end(), far.begin(), far.end());
  }
  if (near.size() > kMaxAddresses) {
    near.resize(kMaxAddresses);
  }
  return near;
}

} // namespace goldcrestcroft
