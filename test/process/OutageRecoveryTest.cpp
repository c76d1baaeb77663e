#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::uint16_t kPort = 7400;
/** Target for the time from the return of the platform to the first response.
 */
constexpr auto kRecoveryTarget = 3s;

/** The store and all engines, in a process of their own. */
auto StartPlatform(const TempFolder& aFolder) -> Process
{
  return { std::string(BUILD_FOLDER) + "/test/platform_standin",
           { "--port=" + std::to_string(kPort) },
           aFolder.Path() + "/platform" };
}

/** Sends requests on many connections until it is destroyed, so that engines
 * that do not respond lose several at once and are suspended. */
class Load
{
public:
  explicit Load(EntryFleet& aFleet)
  {
    constexpr std::size_t kCallers = 16;
    for (std::size_t i = 0; i < kCallers; ++i) {
      threads_.emplace_back([this, &aFleet] {
        while (!stopped_) {
          auto call = aFleet.MakeCall("/safe/x");
          call.headers_["Goldcrestcroft-Deadline-Ms"] = "300";
          SendCall(aFleet.CallerAddress(0), call);
          std::this_thread::sleep_for(50ms);
        }
      });
    }
  }
  ~Load()
  {
    stopped_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  Load(const Load&) = delete;
  auto operator=(const Load&) -> Load& = delete;

private:
  std::atomic<bool> stopped_ = false;
  std::vector<std::thread> threads_;
};

/** Share of requests that are served, from the first one on, in this time. */
auto ServedShare(EntryFleet& aFleet, Clock::duration aTime) -> double
{
  auto sent = 0;
  auto served = 0;
  for (const auto until = Clock::now() + aTime; Clock::now() < until; ++sent) {
    served += aFleet.Get(0, "/safe/x").status_ == 200 ? 1 : 0;
    std::this_thread::sleep_for(20ms);
  }
  return static_cast<double>(served) / sent;
}

} // namespace

TEST_CASE("service returns when the engines do, and not when suspensions end")
{
  struct Case
  {
    bool kills_ = false;
    Clock::duration for_{};
  };
  for (const auto& item : { Case{ false, 4s }, Case{ true, 8s } }) {
    CAPTURE(item.kills_);
    const TempFolder folder;
    EntryFleet fleet(1);
    auto platform = StartPlatform(folder);
    fleet.RestartWith(0, ":7300", ":" + std::to_string(kPort));
    INFO(fleet.Log(0));
    REQUIRE(fleet.AwaitReady(0));
    REQUIRE(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
    const Load load(fleet);
    if (item.kills_) {
      platform.Kill();
    } else {
      platform.Signal(SIGSTOP);
    }
    std::this_thread::sleep_for(item.for_);
    if (item.kills_) {
      platform = StartPlatform(folder);
    } else {
      platform.Signal(SIGCONT);
    }
    const auto returnedAt = Clock::now();
    CHECK(EntryFleet::Await(
      [&] { return fleet.Get(0, "/safe/x").status_ == 200; }));
    CHECK(Clock::now() - returnedAt < kRecoveryTarget);
    CHECK(ServedShare(fleet, kRecoveryTarget) > 0.5);
    CHECK(fleet.ProcessOf(0).IsRunning());
  }
}

} // namespace testing
