#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using Trouble = standins::EngineStandin::Trouble;
using Engine = standins::EngineStandin;

constexpr auto kId = "Goldcrestcroft-Request-Id";
/** Longer than a host waits for an event before it tries another engine, and
 * shorter than the timeout of the route. */
constexpr auto kStallMs = 2000;

/** Sends the call; once an engine of the service runs it, calls aThen with each
 * of the others. */
auto CallThen(EntryFleet& aFleet, const std::string& aService,
              const CallerCall& aCall,
              const std::function<void(Engine&)>& aThen) -> CallerResponse
{
  CallerResponse answer;
  std::thread caller(
    [&] { answer = SendCall(aFleet.CallerAddress(0), aCall); });
  const auto& id = aCall.headers_.at(kId);
  CHECK(EntryFleet::Await([&] { return aFleet.RunsOf(aService, id) == 1; }));
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    if (!engine->Runs().contains(id)) {
      aThen(*engine);
    }
  }
  caller.join();
  return answer;
}

auto StallStreams(EntryFleet& aFleet, int aStallMs) -> void
{
  for (const auto& engine : aFleet.Platform().Engines("model")) {
    engine->stallMs_ = aStallMs;
  }
}

auto CheckComplete(const CallerResponse& aStream, const std::string& aId)
  -> void
{
  CHECK(aStream.status_ == 200);
  CHECK(aStream.whole_);
  CHECK(CountOf(aStream.body_, "data: " + aId) == 6);
}

} // namespace

TEST_CASE("a stream is not cut when its engine stalls and another one does not "
          "take it")
{
  const std::map<std::string, std::function<void(Engine&)>> faults{
    { "refuses", [](auto& aOther) { aOther.trouble_ = Trouble::Full; } },
    { "resets", [](auto& aOther) { aOther.SetMaxConnections(0); } }
  };
  for (const auto& fault : faults) {
    CAPTURE(fault.first);
    EntryFleet fleet(1);
    INFO(fleet.Log(0));
    REQUIRE(fleet.AwaitReady(0));
    StallStreams(fleet, kStallMs);
    auto call = fleet.MakeCall("/stream/x");
    call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
    CheckComplete(CallThen(fleet, "model", call, fault.second),
                  call.headers_.at(kId));
  }
}

TEST_CASE(
  "a stream is not cut when its engine stalls and the inputs for another "
  "one cannot be produced")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  StallStreams(fleet, kStallMs);
  auto call = fleet.MakeCall("/stream/x");
  call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
  const auto stream = CallThen(fleet, "model", call, [&](auto& aOther) {
    aOther.inputsLost_ = true;
    fleet.Platform().SetFaultMode("cutter", Trouble::Full);
  });
  CheckComplete(stream, call.headers_.at(kId));
  CHECK(fleet.RunsOf("model", call.headers_.at(kId)) == 1);
}

TEST_CASE("a stream that stalls within an event is not cut when another engine "
          "does not take it")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  StallStreams(fleet, kStallMs);
  for (const auto& engine : fleet.Platform().Engines("model")) {
    engine->splitsEvents_ = true;
  }
  auto call = fleet.MakeCall("/stream/x");
  call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
  const auto stream = CallThen(fleet, "model", call, [](auto& aOther) {
    aOther.trouble_ = Trouble::Full;
  });
  CheckComplete(stream, call.headers_.at(kId));
}

TEST_CASE("a stream continues on a third engine when its first one resumes and "
          "then breaks off")
{
  EntryFleet fleet(1, { .enginesPerService_ = 3 });
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  StallStreams(fleet, 1800);
  fleet.Platform().SetFaultMode("model", Trouble::Truncates);
  for (const auto& engine : fleet.Platform().Engines("cutter")) {
    engine->callMs_ = 450;
  }
  auto call = fleet.MakeCall("/stream/x");
  call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
  std::size_t others = 0;
  const auto stream = CallThen(fleet, "model", call, [&](auto& aOther) {
    aOther.trouble_ = Trouble::None;
    aOther.stallMs_ = 5;
    aOther.inputsLost_ = others++ == 0;
  });
  CheckComplete(stream, call.headers_.at(kId));
}

TEST_CASE(
  "a stalled engine that resumes before another has the stream keeps it")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  StallStreams(fleet, kStallMs);
  auto call = fleet.MakeCall("/stream/x");
  call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
  const auto stream = CallThen(fleet, "model", call, [&](auto& aOther) {
    aOther.inputsLost_ = true;
    for (const auto& engine : fleet.Platform().Engines("cutter")) {
      engine->callMs_ = 900;
    }
  });
  CheckComplete(stream, call.headers_.at(kId));
  CHECK(fleet.RunsOf("model", call.headers_.at(kId)) == 1);
}

TEST_CASE("a stream whose engine stays silent continues on another engine")
{
  EntryFleet fleet(1);
  INFO(fleet.Log(0));
  REQUIRE(fleet.AwaitReady(0));
  StallStreams(fleet, 10'000);
  auto call = fleet.MakeCall("/stream/x");
  call.headers_["Goldcrestcroft-Deadline-Ms"] = "3000";
  const auto stream =
    CallThen(fleet, "model", call, [](auto& aOther) { aOther.stallMs_ = 5; });
  CheckComplete(stream, call.headers_.at(kId));
  CHECK(fleet.RunsOf("model", call.headers_.at(kId)) == 2);
}

TEST_CASE("an idempotent request does not fail when its engine is slow and "
          "another one does not serve it")
{
  for (const auto trouble : { Trouble::Full, Trouble::Drops, Trouble::Fails }) {
    EntryFleet fleet(1);
    INFO(fleet.Log(0));
    REQUIRE(fleet.AwaitReady(0));
    for (const auto& engine : fleet.Platform().Engines("desk")) {
      engine->delayMs_ = 1600;
    }
    const auto call = fleet.MakeCall("/safe/x");
    const auto answer = CallThen(fleet, "desk", call, [&](auto& aOther) {
      aOther.delayMs_ = 0;
      aOther.trouble_ = trouble;
    });
    CHECK(answer.status_ == 200);
    CHECK(answer.whole_);
  }
}

} // namespace testing
