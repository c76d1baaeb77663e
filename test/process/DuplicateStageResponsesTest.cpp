#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <sstream>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;

/** \brief The input handles that the model engine received with the last
 * request. */
auto InputsOf(EntryFleet& aFleet) -> std::vector<std::string>
{
  std::vector<std::string> handles;
  for (const auto& engine : aFleet.Platform().Engines("model")) {
    if (!engine->Runs().contains(aFleet.LastId())) {
      continue;
    }
    std::istringstream list(engine->LastHeader("Goldcrestcroft-Inputs"));
    for (std::string handle; std::getline(list, handle, ',');) {
      handles.push_back(handle);
    }
  }
  return handles;
}

/** \brief The id of the request that a result of the service was produced for.
 */
auto ProducedFor(EntryFleet& aFleet, const std::string& aService,
                 const std::string& aHandle) -> std::string
{
  std::string request;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    request += engine->ProducedFor(aHandle);
  }
  return request;
}

} // namespace

TEST_CASE("a late duplicate of a stage engine's response is not taken for "
          "the response to the next call")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  fleet.Platform().SetFaultMode("cutter", Trouble::Duplicates);
  fleet.Platform().SetFaultMode("ranker", Trouble::Duplicates);
  for (auto i = 0; i < 12; ++i) {
    const auto stream = fleet.Get(0, "/stream/x");
    CHECK(stream.status_ == 200);
    CHECK(stream.whole_);
    const auto inputs = InputsOf(fleet);
    CHECK_FALSE(inputs.empty());
    for (const auto& handle : inputs) {
      CHECK(ProducedFor(fleet, "ranker", handle) == fleet.LastId());
    }
  }
}

} // namespace testing
