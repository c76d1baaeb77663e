#include "OnceScenario.h"

namespace bench {

auto AllScenarios() -> std::vector<OnceScenario>
{
  std::vector<OnceScenario> rows;
  for (const auto hosts : { 8, 64 }) {
    for (const auto rate : { 50.0, 180.0, 400.0, 1500.0 }) {
      rows.push_back({ "single", InsertStrategy::Single, PlatformState::Healthy,
                       hosts, rate });
      rows.push_back({ "receiving host", InsertStrategy::Receiving,
                       PlatformState::Healthy, hosts, rate });
      rows.push_back({ "home host", InsertStrategy::Home,
                       PlatformState::Healthy, hosts, rate });
      rows.push_back({ "bound key", InsertStrategy::Bound,
                       PlatformState::Healthy, hosts, rate });
    }
  }
  for (const auto platform : { PlatformState::Slow, PlatformState::Down }) {
    rows.push_back({ "single", InsertStrategy::Single, platform, 8, 180.0 });
    rows.push_back(
      { "receiving host", InsertStrategy::Receiving, platform, 8, 180.0 });
    rows.push_back({ "home host", InsertStrategy::Home, platform, 8, 180.0 });
    rows.push_back({ "bound key", InsertStrategy::Bound, platform, 8, 180.0 });
  }
  return rows;
}

} // namespace bench
