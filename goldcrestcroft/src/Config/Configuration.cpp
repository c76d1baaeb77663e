#include "Configuration.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

// Lists are kept sorted by id, so that equal documents compare equal and
// lookups are binary searches.
template<typename T>
auto SortById(std::vector<T>& aItems) -> void
{
  std::sort(aItems.begin(), aItems.end(), [](const T& aLeft, const T& aRight) {
    return aLeft.id_ < aRight.id_;
  });
}

template<typename T, typename Id>
auto FindById(const std::vector<T>& aItems, const Id& aId) -> const T*
{
  const auto found = std::lower_bound(
    aItems.begin(), aItems.end(), aId,
    [](const T& aItem, const Id& aWanted) { return aItem.id_ < aWanted; });
  return found != aItems.end() && found->id_ == aId ? &*found : nullptr;
}

} // namespace

Configuration::Configuration(Options aOptions)
  : workspaces_(std::move(aOptions.workspaces_))
  , pools_(std::move(aOptions.pools_))
  , pipelines_(std::move(aOptions.pipelines_))
{
  SortById(workspaces_);
  SortById(pools_);
  SortById(pipelines_);
  for (auto& pool : pools_) {
    SortById(pool.servers_);
  }
}

auto Configuration::FindWorkspace(const WorkspaceId& aId) const
  -> const Workspace*
{
  return FindById(workspaces_, aId);
}

auto Configuration::FindPool(const PoolId& aId) const -> const Pool*
{
  return FindById(pools_, aId);
}

auto Configuration::FindServer(const ServerId& aId) const
  -> const BackendServer*
{
  for (const auto& pool : pools_) {
    if (const auto* server = FindById(pool.servers_, aId)) {
      return server;
    }
  }
  return nullptr;
}

auto Configuration::FindPipeline(const PipelineId& aId) const -> const Pipeline*
{
  return FindById(pipelines_, aId);
}

auto Configuration::IsIdempotent(const Pipeline& aPipeline) const -> bool
{
  return std::all_of(aPipeline.stages_.begin(), aPipeline.stages_.end(),
                     [this](const Stage& aStage) {
                       const auto* pool = FindPool(aStage.pool_);
                       return pool != nullptr && pool->idempotent_;
                     });
}

} // namespace goldcrestcroft
