#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <sstream>

namespace testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kForgetsAfter = milliseconds{ 300 };
const std::vector<std::string> kServices = { "desk", "model" };

auto SetIdleTimeout(EntryFleet& aFleet, milliseconds aIdleTime) -> void
{
  for (const auto& service : kServices) {
    for (const auto& engine : aFleet.Platform().Engines(service)) {
      engine->SetIdleTimeout(aIdleTime);
    }
  }
}

auto IdleResets(EntryFleet& aFleet, const std::string& aService) -> std::size_t
{
  std::size_t sum = 0;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    sum += engine->IdleResets();
  }
  return sum;
}

/** Calls without a complete successful response, by status. */
using Failures = std::map<int, int>;

/** \brief Sends non-idempotent requests to both services after each of several
 * idle times. */
auto CallAfterIdleTimes(EntryFleet& aFleet, std::size_t aHosts, int aRounds)
  -> Failures
{
  Failures failures;
  for (auto i = 0; i < aRounds; ++i) {
    for (const auto idleTime : { 450, 20, 250, 350, 600 }) {
      std::this_thread::sleep_for(milliseconds{ idleTime });
      for (std::size_t host = 0; host < aHosts; ++host) {
        for (const auto& answer :
             { aFleet.Call(host, { .method_ = "POST", .target_ = "/unsafe/x" }),
               aFleet.Get(host, "/once/stream/x") }) {
          if (answer.status_ != 200 || !answer.whole_) {
            ++failures[answer.status_];
          }
        }
      }
    }
  }
  return failures;
}

} // namespace

TEST_CASE("engines that forget idle connections cost a host one request of "
          "each service, not one for each idle time")
{
  constexpr std::size_t kHosts = 2;
  constexpr auto kRounds = 3;
  EntryFleet fleet(kHosts);
  for (std::size_t host = 0; host < kHosts; ++host) {
    REQUIRE(fleet.AwaitReady(host));
  }
  REQUIRE(CallAfterIdleTimes(fleet, kHosts, 1).empty());
  SetIdleTimeout(fleet, kForgetsAfter);
  const auto failures = CallAfterIdleTimes(fleet, kHosts, kRounds);
  CAPTURE(fleet.Log(0));
  // Only its first loss shows a host that engines of a service forget idle
  // connections, and a lost non-idempotent request is not retried.
  const auto maxLost = static_cast<int>(kHosts * kServices.size());
  const auto lost = failures.contains(502) ? failures.at(502) : 0;
  CAPTURE(lost);
  CHECK(lost <= maxLost);
  CHECK(failures.size() == (lost > 0 ? 1 : 0));
  for (const auto& service : kServices) {
    CHECK(IdleResets(fleet, service) <= kHosts);
  }
}

TEST_CASE(
  "a loss on an idle connection is logged with the connection's idle time")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  REQUIRE(fleet.Get(0, "/once/stream/x").status_ == 200);
  SetIdleTimeout(fleet, milliseconds{ 0 });
  CHECK(EntryFleet::Await([&] {
    fleet.Get(0, "/once/stream/x");
    return fleet.Log(0).find("connection_forgotten") != std::string::npos;
  }));
  for (const auto* const event : { "attempt_ended", "run_lost" }) {
    CAPTURE(event);
    std::istringstream lines(fleet.Log(0));
    auto logged = false;
    for (std::string line; std::getline(lines, line);) {
      logged |= line.find(event) != std::string::npos &&
                line.find("\"kept\":\"true\"") != std::string::npos &&
                line.find("\"rested_ms\":") != std::string::npos;
    }
    CHECK(logged);
  }
}

TEST_CASE("connections that were idle for too long to be reused are closed, so "
          "that an engine with a low connection limit accepts new ones")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  // One connection in use and one that is being closed.
  for (const auto& service : kServices) {
    for (const auto& engine : fleet.Platform().Engines(service)) {
      engine->SetMaxConnections(2);
    }
  }
  SetIdleTimeout(fleet, kForgetsAfter);
  constexpr auto kRounds = 3;
  const auto failures = CallAfterIdleTimes(fleet, 1, kRounds);
  CAPTURE(fleet.Log(0));
  CHECK_FALSE(failures.contains(503));
  CHECK_FALSE(failures.contains(0));
}

} // namespace testing
