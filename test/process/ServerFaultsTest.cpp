#include "Fleet.h"

#include <thread>

namespace testing {

namespace {

/** Sends requests and counts the hops at each server. */
auto CountHopsByServer(Fleet& aFleet, int aRequests)
  -> std::map<std::string, int>
{
  std::map<std::string, int> served;
  for (auto i = 0; i < aRequests; ++i) {
    const auto reply = aFleet.Send(i % 3, { .input_ = std::to_string(i) });
    CHECK(OutcomeOf(reply) == "completed");
    const auto body = json::parse(reply.body_);
    for (const auto& hop : body["hops"]) {
      ++served[hop["server"]];
    }
  }
  return served;
}

auto BusiestEngine(const std::map<std::string, int>& aServed) -> std::string
{
  std::string busiest = "engine-0";
  for (const auto& [server, count] : aServed) {
    if (server.find("engine") == 0 && count > aServed.at(busiest)) {
      busiest = server;
    }
  }
  return busiest;
}

auto SetMemberState(const Fleet& aFleet, const std::string& aServer,
                    const char* aState) -> void
{
  const auto member = json{ { "id", aServer }, { "state", aState } };
  REQUIRE(aFleet
            .Post(aFleet.Address("members"), "/v1/members",
                  { { "members", json::array({ member }) } })
            .status_ == 200);
}

constexpr Fleet::Options kSlowEngines{ .engineStepMicroseconds_ = 5000,
                                       .engines_ = 4 };

auto CrashOnPoison(Fleet& aFleet) -> void
{
  for (auto i = 0; i < kSlowEngines.engines_; ++i) {
    aFleet.SetFaults("engine-" + std::to_string(i),
                     { { "crash_on", "POISON" } });
  }
}

auto CrashedEngines(Fleet& aFleet) -> int
{
  auto crashed = 0;
  for (auto i = 0; i < kSlowEngines.engines_; ++i) {
    crashed +=
      aFleet.Standin("engine-" + std::to_string(i)).IsRunning() ? 0 : 1;
  }
  return crashed;
}

} // namespace

TEST_CASE("servers: a draining server gets no new requests, whoever reports it "
          "first")
{
  Fleet fleet({});
  auto before = CountHopsByServer(fleet, 30);
  before.try_emplace("engine-0", 0);
  const auto victim = BusiestEngine(before);
  REQUIRE(before[victim] > 0);
  SUBCASE("the member list reports it")
  {
    SetMemberState(fleet, victim, "leaving");
  }
  SUBCASE("the server reports it while the member list has it as live")
  {
    SetMemberState(fleet, victim, "live");
    fleet.SetFaults(victim, { { "leaving", true } });
    // A host learns it from a response of the server and notifies the others.
    auto asked = false;
    for (auto i = 0; i < 100 && !asked; ++i) {
      asked = CountHopsByServer(fleet, 3)[victim] > 0;
    }
    REQUIRE(asked);
  }
  std::this_thread::sleep_for(std::chrono::seconds{ 3 });
  CHECK(CountHopsByServer(fleet, 60)[victim] == 0);
}

TEST_CASE("servers: responses stay complete while engines repeatedly crash and "
          "restart")
{
  Fleet fleet({ .engineStepMicroseconds_ = 3000 });
  for (auto round = 0; round < 6; ++round) {
    std::vector<std::function<HttpResponse()>> replies;
    replies.reserve(24);
    for (auto i = 0; i < 12; ++i) {
      replies.push_back(
        fleet.SendLater(i % 3, { .input_ = std::to_string(100 * round + i),
                                 .stream_ = i % 2 == 0,
                                 .maxTokens_ = 40 }));
    }
    const auto victim = "engine-" + std::to_string(round % 3);
    std::this_thread::sleep_for(std::chrono::milliseconds{ 60 });
    fleet.Standin(victim).Kill();
    for (auto i = 0; i < 12; ++i) {
      const auto reply = replies[i]();
      CAPTURE(reply.body_);
      const auto own = DigestOf(std::to_string(100 * round + i));
      const auto whole =
        i % 2 == 0 ? reply.body_.find("event: done") != std::string::npos
                   : OutcomeOf(reply) == "completed";
      CHECK(whole);
      CHECK(reply.body_.find(own) != std::string::npos);
    }
    fleet.StartStandin(victim);
  }
}

TEST_CASE("servers: connections that stop responding for good make no request "
          "miss its deadline")
{
  Fleet fleet({});
  CountHopsByServer(fleet, 30); // fills the connection pools
  for (const auto* server : { "engine-0", "engine-1", "encoder-0" }) {
    fleet.SetFaults(server, { { "silence_open", true } });
  }
  for (auto i = 0; i < 30; ++i) {
    const auto reply =
      fleet.Send(i % 3, { .input_ = "after" + std::to_string(i),
                          .deadlineMilliseconds_ = 4000 });
    CAPTURE(reply.body_);
    CHECK(OutcomeOf(reply) == "completed");
  }
}

TEST_CASE("servers: a poison request is stopped after two crashes, and "
          "concurrent requests complete")
{
  Fleet fleet(kSlowEngines);
  CrashOnPoison(fleet);
  std::vector<std::function<HttpResponse()>> neighbours;
  neighbours.reserve(24);
  for (auto i = 0; i < 24; ++i) {
    neighbours.push_back(fleet.SendLater(
      i % 3, { .input_ = "neighbour " + std::to_string(i), .maxTokens_ = 60 }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
  for (auto i = 0; i < 9; ++i) {
    const auto reply = fleet.Send(i % 3, { .input_ = "POISON" });
    CHECK(OutcomeOf(reply) != "completed");
    CHECK(OutcomeOf(reply).find("no answer") == std::string::npos);
  }
  CHECK(CrashedEngines(fleet) <= 2);
  for (auto i = 0; i < 24; ++i) {
    const auto reply = neighbours[i]();
    CAPTURE(reply.body_);
    CHECK(OutcomeOf(reply) == "completed");
    CHECK(TextOf(reply).find(DigestOf("neighbour " + std::to_string(i))) !=
          std::string::npos);
  }
  // The quarantine is final, holds on all hosts and for this request only.
  for (auto host = 0; host < 3; ++host) {
    fleet.Await("quarantined everywhere", [&] {
      return fleet.Send(host, { .input_ = "POISON" }).status_ == 403;
    });
    CHECK(OutcomeOf(fleet.Send(host, { .input_ = "neighbour 1" })) ==
          "completed");
  }
}

TEST_CASE("servers: copies of a poison request that wait at other hosts are "
          "rejected once it is quarantined")
{
  Fleet fleet(kSlowEngines);
  CrashOnPoison(fleet);
  auto first = fleet.SendLater(0, { .input_ = "POISON" });
  // The other hosts receive the suspicion before they get a copy.
  std::this_thread::sleep_for(std::chrono::milliseconds{ 150 });
  std::vector<std::function<HttpResponse()>> copies;
  copies.reserve(6);
  for (auto i = 0; i < 6; ++i) {
    copies.push_back(fleet.SendLater(1 + i % 2, { .input_ = "POISON" }));
  }
  CHECK(OutcomeOf(first()) != "completed");
  for (auto& copy : copies) {
    CHECK(copy().status_ == 403);
  }
  CHECK(CrashedEngines(fleet) <= 2);
}

} // namespace testing
