#include "FleetRun.h"
#include "ResultPage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <future>

ABSL_FLAG(std::string, out, "docs/results",
          "folder for the table and the plot");
ABSL_FLAG(std::string, only, "", "only scenarios whose name holds this");

namespace bench {

namespace {

using namespace goldcrestcroft;

template<typename Routing>
auto RunBaseline(const Scenario& aScenario) -> RunResult
{
  return FleetRun<Routing>({ .scenario_ = aScenario,
                             .dispatcher_ = { .admission_ = false,
                                              .ejection_ = false,
                                              .lending_ = false } })
    .Run();
}

auto RunCorrectedLoad(const Scenario& aScenario, bool aOracle) -> RunResult
{
  return FleetRun<CorrectedLoadRouting>(
           { .scenario_ = aScenario, .oracle_ = aOracle })
    .Run();
}

auto RunAll(const Scenario& aScenario) -> ScenarioResult
{
  return { .scenario_ = aScenario,
           .columns_ = {
             { "round robin", RunBaseline<RoundRobinRouting>(aScenario) },
             { "least reported", RunBaseline<LeastReportedRouting>(aScenario) },
             { "two choices", RunBaseline<TwoChoicesRouting>(aScenario) },
             { "ours", RunCorrectedLoad(aScenario, false) },
             { "oracle", RunCorrectedLoad(aScenario, true) } } };
}

auto Scenarios() -> std::vector<Scenario>
{
  std::vector<Scenario> scenarios;
  const auto tumen = TumenCraftExchange();
  const auto add = [&](const std::string& aName, auto aChange) {
    Scenario scenario{ .name_ = aName, .deployment_ = tumen };
    aChange(scenario);
    scenarios.push_back(scenario);
  };
  for (const auto load : { 0.5, 0.7, 0.9, 1.0, 1.2, 1.5 }) {
    char name[32];
    std::snprintf(name, sizeof(name), "load %.1f", load);
    add(name, [&](Scenario& aScenario) { aScenario.load_ = load; });
  }
  for (const auto load : { 0.9, 1.0, 1.5 }) {
    char name[48];
    std::snprintf(name, sizeof(name), "no lending, load %.1f", load);
    add(name, [&](Scenario& aScenario) {
      aScenario.deployment_.lends_ = false;
      aScenario.load_ = load;
    });
  }
  add("load 0.9, 9 hosts", [](Scenario& aScenario) { aScenario.hosts_ = 9; });
  add("load 0.9, Plauderbruecke",
      [](Scenario& aScenario) { aScenario.deployment_ = Plauderbruecke(); });
  add("load 1.5, Plauderbruecke", [](Scenario& aScenario) {
    aScenario.deployment_ = Plauderbruecke();
    aScenario.load_ = 1.5;
  });
  add("bursts around 0.9",
      [](Scenario& aScenario) { aScenario.bursts_ = true; });
  add("long briefs at 0.8", [](Scenario& aScenario) {
    aScenario.longInputs_ = true;
    aScenario.load_ = 0.8;
  });
  add("straggler at 0.8", [](Scenario& aScenario) {
    aScenario.straggler_ = true;
    aScenario.load_ = 0.8;
  });
  add("zone lost at 0.7", [](Scenario& aScenario) {
    aScenario.zoneLost_ = true;
    aScenario.load_ = 0.7;
  });
  add("host lost at 0.9",
      [](Scenario& aScenario) { aScenario.hostLost_ = true; });
  add("flood by one at 0.6", [](Scenario& aScenario) {
    aScenario.flood_ = true;
    aScenario.load_ = 0.6;
  });
  for (const auto lag : { 100, 1000, 5000 }) {
    add("reports " + std::to_string(lag) + " ms late at 0.9",
        [&](Scenario& aScenario) {
          aScenario.reportLag_ = std::chrono::milliseconds{ lag };
        });
  }
  for (const auto period : { 100, 500, 1000, 2000 }) {
    add("hosts talk every " + std::to_string(period) + " ms at 1.2",
        [&](Scenario& aScenario) {
          aScenario.gossipPeriod_ = std::chrono::milliseconds{ period };
          aScenario.load_ = 1.2;
        });
  }
  return scenarios;
}

auto Main(int aCount, char** aArguments) -> int
{
  absl::ParseCommandLine(aCount, aArguments);
  const auto only = absl::GetFlag(FLAGS_only);
  std::vector<std::future<ScenarioResult>> runs;
  for (const auto& scenario : Scenarios()) {
    if (scenario.name_.find(only) != std::string::npos) {
      runs.push_back(std::async(std::launch::async, RunAll, scenario));
    }
  }
  std::vector<ScenarioResult> results;
  results.reserve(runs.size());
  for (auto& run : runs) {
    results.push_back(run.get());
  }
  WriteResultPage(results, absl::GetFlag(FLAGS_out));
  std::fputs(ResultTable(results).c_str(), stdout);
  return 0;
}

} // namespace

} // namespace bench

auto main(int aCount, char** aArguments) -> int
{
  return bench::Main(aCount, aArguments);
}
