#include "FleetView.h"

namespace goldcrestcroft {

namespace {

/** Callers use no more addresses of one answer than this. */
constexpr std::size_t kMostAddresses = 64;

} // namespace

auto FleetView::Staying() const -> std::vector<std::string>
{
  std::vector<std::string> ids;
  for (const auto& host : hosts_) {
    if (!host.leaving_) {
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
    if (!host.leaving_ && !host.callerAddress_.empty()) {
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
