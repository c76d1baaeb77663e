#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

TEST_CASE("a host that is suspended until its grace period has expired exits "
          "with code 0")
{
  using goldcrestcroft::SuspendAwareClock;
  constexpr auto kPause = std::chrono::seconds{ 6 };
  constexpr auto kRunMs = 2000;
  constexpr auto kCalls = 8;
  EntryFleet fleet(1, { .enginesPerService_ = 4 });
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("desk")) {
    engine->delayMs_ = kRunMs;
  }
  std::vector<std::thread> callers;
  callers.reserve(kCalls);
  for (auto i = 0; i < kCalls; ++i) {
    callers.emplace_back([&] { fleet.Get(0, "/safe/x"); });
  }
  CHECK(EntryFleet::Await([&] {
    std::size_t reached = 0;
    for (const auto& engine : fleet.Platform().Engines("desk")) {
      reached += engine->ReceivedCount();
    }
    return reached >= kCalls;
  }));
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(EntryFleet::Await([&] { return !fleet.IsReady(0); }));
  fleet.ProcessOf(0).Signal(SIGSTOP);
  const auto until = SuspendAwareClock{}.Now() + kPause;
  CHECK(EntryFleet::Await([&] { return SuspendAwareClock{}.Now() > until; }));
  fleet.ProcessOf(0).Signal(SIGCONT);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
  for (auto& caller : callers) {
    caller.join();
  }
}

} // namespace testing
