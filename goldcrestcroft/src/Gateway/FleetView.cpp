#include "FleetView.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Callers use no more addresses of one answer than this. */
constexpr std::size_t kMostAddresses = 64;
/** Collectors are measured by the host of this place in the order of power, so
 * that one or two strong hosts do not collect everything. */
constexpr std::size_t kStrongest = 3;
/** Part of its power that a collector has at least. */
constexpr auto kLeastPower = 0.5;

} // namespace

auto FleetView::Collectors() const -> std::vector<std::string>
{
  std::vector<double> powers;
  for (const auto& host : hosts_) {
    if (!host.leaving_) {
      powers.push_back(host.power_);
    }
  }
  std::sort(powers.rbegin(), powers.rend());
  const auto least =
    powers.empty()
      ? 0.0
      : powers[std::min(powers.size(), kStrongest) - 1] * kLeastPower;
  std::vector<std::string> ids;
  for (const auto& host : hosts_) {
    if (!host.leaving_ && host.power_ >= least) {
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
                     std::size_t aLeast) -> std::vector<std::string>
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& host : aView.hosts_) {
    const auto serves = !host.leaving_ && !host.suspected_;
    if (serves && !host.callerAddress_.empty()) {
      (host.zone_ == aZone ? near : far).push_back(host.callerAddress_);
    }
  }
  if (near.size() < aLeast) {
    near.insert(near.end(), far.begin(), far.end());
  }
  if (near.size() > kMostAddresses) {
    near.resize(kMostAddresses);
  }
  return near;
}

} // namespace goldcrestcroft
