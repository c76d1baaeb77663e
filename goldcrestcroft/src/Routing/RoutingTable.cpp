#include "RoutingTable.h"

#include <algorithm>

namespace goldcrestcroft {

RoutingTable::RoutingTable(Options aOptions)
  : options_(std::move(aOptions))
{
  const auto& routes = options_.routes_;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    byHost_[routes[i].host_].push_back(i);
  }
  for (auto& [host, indices] : byHost_) {
    std::stable_sort(indices.begin(), indices.end(),
                     [&](std::size_t aLeft, std::size_t aRight) {
                       return routes[aLeft].prefix_.size() >
                              routes[aRight].prefix_.size();
                     });
  }
  for (std::size_t i = 0; i < options_.services_.size(); ++i) {
    serviceIndex_[options_.services_[i].name_] = i;
  }
}

auto RoutingTable::FindRoute(std::string_view aHost,
                             std::string_view aPath) const -> const Route*
{
  const auto host = aHost.substr(0, aHost.find(':'));
  const auto path = aPath.substr(0, aPath.find('?'));
  const auto found = byHost_.find(host);
  if (found == byHost_.end()) {
    return nullptr;
  }
  for (const auto index : found->second) {
    if (path.starts_with(options_.routes_[index].prefix_)) {
      return &options_.routes_[index];
    }
  }
  return nullptr;
}

auto RoutingTable::FindKey(const std::string& aKey) const -> const KeyHolder*
{
  const auto found = options_.keys_.find(aKey);
  return found == options_.keys_.end() ? nullptr : &found->second;
}

auto RoutingTable::FindService(const std::string& aName) const
  -> const ServiceProfile*
{
  const auto found = serviceIndex_.find(aName);
  return found == serviceIndex_.end() ? nullptr
                                      : &options_.services_[found->second];
}

auto RoutingTable::WarmUpRates() const -> std::map<std::string, double>
{
  std::map<std::string, double> rates;
  for (const auto& service : options_.services_) {
    if (service.warmUpPerSecond_) {
      rates[service.name_] = *service.warmUpPerSecond_;
    }
  }
  return rates;
}

auto ChooseService(const Route& aRoute, double aUnit) -> std::string
{
  auto total = 0.0;
  for (const auto& target : aRoute.split_) {
    total += target.weight_;
  }
  auto remaining = aUnit * total;
  for (const auto& target : aRoute.split_) {
    remaining -= target.weight_;
    if (remaining < 0.0) {
      return target.service_;
    }
  }
  return "";
}

} // namespace goldcrestcroft
