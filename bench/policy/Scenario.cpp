#include "Scenario.h"

namespace bench {

namespace {

using namespace goldcrestcroft;

constexpr unsigned kEngineSlots = 8;

auto MakePool(const std::string& aName, StageKind aKind, int aServers,
              unsigned aSlots, Duration aExpected) -> Pool
{
  Pool pool{ .id_ = { aName },
             .kind_ = aKind,
             .licensedCopies_ = static_cast<unsigned>(aServers),
             .expected_ = aExpected };
  for (auto i = 0; i < aServers; ++i) {
    pool.servers_.push_back({ .id_ = { aName + "-" + std::to_string(i) },
                              .pool_ = pool.id_,
                              .zone_ = { "zone-" + std::to_string(i % 3) },
                              .slots_ = aSlots });
  }
  return pool;
}

} // namespace

auto TumenCraftExchange() -> Deployment
{
  return { .name_ = "Tumen Craft Exchange",
           .dedicatedEngines_ = { 3, 5, 5, 5 },
           .interZoneDelay_ = std::chrono::microseconds{ 1000 } };
}

auto Plauderbruecke() -> Deployment
{
  return { .name_ = "Plauderbruecke",
           .dedicatedEngines_ = { 3, 5, 5, 5 },
           .interZoneDelay_ = std::chrono::microseconds{ 1500 } };
}

auto MakeConfiguration(const Deployment& aDeployment) -> Configuration
{
  using Milliseconds = std::chrono::milliseconds;
  Configuration::Options options;
  // The pools of the stages before generation have a quarter more capacity
  // than full load needs, so the engines are the bottleneck unless inputs
  // grow.
  options.pools_ = {
    MakePool("encoders", StageKind::Encode, 6, 2, Milliseconds{ 20 }),
    MakePool("retrievers", StageKind::Retrieve, 6, 2, Milliseconds{ 20 }),
    MakePool("rerankers", StageKind::Rerank, 6, 2, Milliseconds{ 20 }),
    MakePool("shared", StageKind::Generate, aDeployment.sharedEngines_,
             kEngineSlots, Milliseconds{ 300 })
  };
  auto number = 0;
  for (const auto engines : aDeployment.dedicatedEngines_) {
    auto pool = MakePool("desk" + std::to_string(number++), StageKind::Generate,
                         engines, kEngineSlots, Milliseconds{ 150 });
    if (aDeployment.lends_) {
      pool.lendsTo_ = { { "shared" } };
    }
    options.pools_.push_back(std::move(pool));
  }
  for (auto i = 0; i < aDeployment.workspaces_; ++i) {
    options.workspaces_.push_back({ .id_ = { "w" + std::to_string(i) } });
  }
  return Configuration(std::move(options));
}

} // namespace bench
