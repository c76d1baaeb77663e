#include "CompactLoad.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace goldcrestcroft {

namespace {

auto Clamp(unsigned aNumber) -> std::uint16_t
{
  return static_cast<std::uint16_t>(
    std::min<unsigned>(aNumber, std::numeric_limits<std::uint16_t>::max()));
}

auto AllServers(const ConfigVersion& aConfig) -> std::vector<ServerId>
{
  std::vector<ServerId> servers;
  for (const auto& pool : aConfig.Content().Pools()) {
    for (const auto& server : pool.servers_) {
      servers.push_back(server.id_);
    }
  }
  return servers;
}

template<typename Item>
auto IndexOf(const std::vector<Item>& aItems, const auto& aId) -> std::size_t
{
  const auto found = std::lower_bound(
    aItems.begin(), aItems.end(), aId,
    [](const Item& aItem, const auto& aWanted) { return aItem.id_ < aWanted; });
  return found != aItems.end() && found->id_ == aId
           ? static_cast<std::size_t>(found - aItems.begin())
           : aItems.size();
}

template<typename Item, typename Weight>
auto KeepLargest(std::vector<Item>& aItems, std::size_t aMaxEntries,
                 Weight aWeight) -> void
{
  if (aItems.size() <= aMaxEntries) {
    return;
  }
  std::nth_element(aItems.begin(),
                   aItems.begin() + static_cast<long>(aMaxEntries),
                   aItems.end(), [&](const Item& aLeft, const Item& aRight) {
                     return aWeight(aLeft) > aWeight(aRight);
                   });
  aItems.resize(aMaxEntries);
}

} // namespace

auto Compact(const HostLoad& aLoad, const ConfigVersion& aConfig,
             std::size_t aMaxEntries) -> CompactLoad
{
  CompactLoad compact{ .version_ = aConfig.Number() };
  std::unordered_map<ServerId, std::uint16_t> indices;
  for (const auto& server : AllServers(aConfig)) {
    indices.emplace(server, static_cast<std::uint16_t>(indices.size()));
  }
  for (const auto& count : aLoad.servers_) {
    const auto index = indices.find(count.server_);
    if (index != indices.end()) {
      compact.servers_.push_back({ .server_ = index->second,
                                   .own_ = Clamp(count.own_),
                                   .borrowed_ = Clamp(count.borrowed_) });
    }
  }
  const auto& content = aConfig.Content();
  for (const auto& demand : aLoad.demands_) {
    const auto pool = IndexOf(content.Pools(), demand.pool_);
    const auto workspace = IndexOf(content.Workspaces(), demand.workspace_);
    if (pool < content.Pools().size() &&
        workspace < content.Workspaces().size()) {
      compact.demands_.push_back(
        { .pool_ = static_cast<std::uint16_t>(pool),
          .workspace_ = static_cast<std::uint16_t>(workspace),
          .inFlight_ = Clamp(demand.inFlight_),
          .queued_ = Clamp(demand.queued_) });
    }
  }
  KeepLargest(compact.servers_, aMaxEntries,
              [](const CompactServerCount& aCount) {
                return aCount.own_ + aCount.borrowed_;
              });
  KeepLargest(compact.demands_, aMaxEntries, [](const CompactDemand& aDemand) {
    return aDemand.inFlight_ + aDemand.queued_;
  });
  return compact;
}

auto Expand(const CompactLoad& aLoad, const HostId& aHost,
            const ConfigVersion& aConfig) -> HostLoad
{
  HostLoad load{ .host_ = aHost };
  if (aLoad.version_ != aConfig.Number()) {
    return load;
  }
  const auto servers = AllServers(aConfig);
  for (const auto& count : aLoad.servers_) {
    if (count.server_ < servers.size()) {
      load.servers_.push_back({ .server_ = servers[count.server_],
                                .own_ = count.own_,
                                .borrowed_ = count.borrowed_ });
    }
  }
  const auto& pools = aConfig.Content().Pools();
  const auto& workspaces = aConfig.Content().Workspaces();
  for (const auto& demand : aLoad.demands_) {
    if (demand.pool_ < pools.size() && demand.workspace_ < workspaces.size()) {
      load.demands_.push_back({ .pool_ = pools[demand.pool_].id_,
                                .workspace_ = workspaces[demand.workspace_].id_,
                                .inFlight_ = demand.inFlight_,
                                .queued_ = demand.queued_ });
    }
  }
  return load;
}

} // namespace goldcrestcroft
