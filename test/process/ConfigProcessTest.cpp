#include "Fleet.h"

#include <csignal>
#include <thread>

namespace testing {

namespace {

auto SetWeight(double aWeight) -> json
{
  return json::array({ { { "op", "replace" },
                         { "path", "/workspaces/gallery" },
                         { "value", { { "weight", aWeight } } } } });
}

auto AwaitVersion(Fleet& aFleet, int aHosts, std::uint64_t aVersion) -> void
{
  for (auto host = 0; host < aHosts; ++host) {
    aFleet.Await("version in force",
                 [&] { return aFleet.VersionAt(host) >= aVersion; });
  }
}

} // namespace

TEST_CASE(
  "config: a patch comes into force on all hosts; one of several concurrent "
  "patches is accepted, and each operator gets the actual outcome")
{
  Fleet fleet({});
  for (std::uint64_t base = 1; base < 8; ++base) {
    AwaitVersion(fleet, 3, base);
    std::vector<std::function<HttpResponse()>> replies;
    replies.reserve(24);
    for (auto i = 0; i < 6; ++i) {
      replies.push_back([&fleet, base, i] {
        return fleet.Patch(i % 3, base, "op-" + std::to_string(i),
                           SetWeight(1.0 + i));
      });
    }
    std::vector<std::thread> threads;
    std::vector<HttpResponse> answers(replies.size());
    for (std::size_t i = 0; i < replies.size(); ++i) {
      threads.emplace_back([&, i] { answers[i] = replies[i](); });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    auto won = 0;
    std::string winner;
    for (std::size_t i = 0; i < answers.size(); ++i) {
      CHECK((answers[i].status_ == 200 || answers[i].status_ == 409));
      if (answers[i].status_ == 200) {
        ++won;
        winner = "op-" + std::to_string(i) + "@";
      }
    }
    CHECK(won == 1);
    const auto history =
      json::parse(fleet
                    .Get(fleet.HostAddress(0),
                         "/v1/config/patches?after=" + std::to_string(base))
                    .body_);
    CHECK(history["patches"][0]["author"].get<std::string>().find(winner) == 0);
  }
}

TEST_CASE(
  "config: hosts converge despite a table outage, a lost reply, a paused "
  "host and a new host")
{
  Fleet fleet({ .hosts_ = 4 });
  REQUIRE(fleet.Patch(0, 1, "op", SetWeight(2)).status_ == 200);
  AwaitVersion(fleet, 4, 2);
  // A host that was paused during a change confirms its version before it is
  // ready.
  fleet.Host(3).Signal(SIGSTOP);
  REQUIRE(fleet.Patch(0, 2, "op", SetWeight(3)).status_ == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 2500 });
  fleet.Host(3).Signal(SIGCONT);
  fleet.AwaitReady(3);
  CHECK(fleet.VersionAt(3) == 3);
  // The patch is applied but the reply is lost: the reported outcome is
  // "unknown".
  fleet.SetFaults("table", { { "lose_answers", true } });
  const auto lost = fleet.Patch(0, 3, "lost", SetWeight(4));
  CHECK(OutcomeOf(lost) == "unknown");
  fleet.SetFaults("table", { { "lose_answers", false } });
  AwaitVersion(fleet, 4, 4);
  // A new host that starts during an outage gets its version from its peers.
  fleet.SetFaults("table", { { "down", true } });
  fleet.Host(2).Kill();
  fleet.StartHost(2);
  fleet.AwaitReady(2);
  CHECK(fleet.VersionAt(2) == 4);
  CHECK(OutcomeOf(fleet.Send(2, {})) == "completed");
  const auto refused = fleet.Patch(2, 4, "op", SetWeight(5));
  CHECK(refused.status_ != 200);
  fleet.SetFaults("table", { { "down", false } });
  CHECK(fleet.Patch(2, 4, "op", SetWeight(6)).status_ == 200);
  AwaitVersion(fleet, 4, 5);
}

TEST_CASE("config: a host that is many versions behind catches up by snapshot")
{
  Fleet fleet({ .hosts_ = 2 });
  fleet.Host(1).Kill();
  for (std::uint64_t base = 1; base < 70; ++base) {
    REQUIRE(fleet.Patch(0, base, "op", SetWeight(1.0 + base)).status_ == 200);
  }
  fleet.StartHost(1);
  AwaitVersion(fleet, 2, 70);
  // The same without peers: a snapshot from the object store, then patches.
  fleet.Host(0).Kill();
  fleet.Host(1).Kill();
  fleet.StartHost(1);
  fleet.AwaitReady(1);
  CHECK(fleet.VersionAt(1) == 70);
}

} // namespace testing
