#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr auto kEngine = "e";
constexpr std::uint64_t kIncarnation = 5;

auto Run(std::uint64_t aNumber) -> UnansweredRun
{
  return { .run_ = { .request_ = 7,
                     .run_ = aNumber,
                     .began_ = kNow - seconds{ 1 },
                     .ended_ = kNow },
           .engine_ = kEngine,
           .startedAt_ = kIncarnation,
           .connectionBroke_ = true };
}

auto ListWithEngine(std::uint64_t aIncarnation, bool aDraining = false)
  -> EngineList
{
  return EngineList({ { .id_ = kEngine,
                        .service_ = "s",
                        .address_ = "a",
                        .draining_ = aDraining,
                        .startedAt_ = aIncarnation } });
}

/** A list without the engine of the runs. */
auto ListWithoutEngine() -> EngineList
{
  return EngineList({ { .id_ = "another", .service_ = "s", .address_ = "b" } });
}

const auto kGone = [](const std::string&) { return false; };
const auto kAlive = [](const std::string&) { return true; };

} // namespace

TEST_CASE("delegated runs count as lost only if their host is gone and the "
          "engine crashed")
{
  DelegatedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(ListWithEngine(kIncarnation), kNow, kGone).empty());
  CHECK(runs.TakeOver(ListWithEngine(kIncarnation + 1), kNow, kAlive).empty());
  CHECK(runs.TakeOver(ListWithEngine(kIncarnation + 1), kNow, kGone) ==
        std::vector{ Run(1).run_ });
  CHECK(runs.Size() == 0);
  runs.Add(Run(2), "host");
  CHECK(runs.TakeOver(ListWithoutEngine(), kNow, kGone) ==
        std::vector{ Run(2).run_ });
}

TEST_CASE("delegated runs do not count at a host that knows no engines yet")
{
  DelegatedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(EngineList(), kNow, kGone).empty());
  CHECK(runs.TakeOver(ListWithEngine(kIncarnation), kNow, kGone).empty());
  CHECK(runs.TakeOver(ListWithoutEngine(), kNow, kGone) ==
        std::vector{ Run(1).run_ });
}

TEST_CASE(
  "delegated runs do not count for draining engines or after they expired")
{
  DelegatedRuns runs;
  runs.Add(Run(1), "host");
  CHECK(runs.TakeOver(ListWithEngine(kIncarnation, true), kNow, kGone).empty());
  CHECK(runs.Size() == 0);
  runs.Add(Run(2), "host");
  CHECK(
    runs.TakeOver(ListWithoutEngine(), kNow + seconds{ 12 }, kGone).empty());
  CHECK(runs.Size() == 0);
}

TEST_CASE("delegated runs count although the next incarnation of the engine "
          "drains")
{
  DelegatedRuns runs;
  runs.Add(Run(1), "host");
  const EngineList engines(
    { { .id_ = kEngine, .draining_ = true, .startedAt_ = kIncarnation + 1 },
      { .id_ = "another", .service_ = "s" } });
  CHECK(runs.TakeOver(engines, kNow, kGone) == std::vector{ Run(1).run_ });
}

TEST_CASE("delegated runs outlive the hosts that keep them, as long as these "
          "are not gone at once")
{
  using Sent = std::vector<std::pair<std::uint64_t, std::string>>;
  DelegatedRuns runs;
  runs.Add(Run(1), "host", { "a", "b" });
  runs.Add(Run(1), "a", { "a", "b" });
  CHECK(runs.Size() == 1);
  const auto passOn = [&](const std::vector<std::string>& aOwners,
                          bool aReached) {
    Sent sent;
    runs.PassOn([&](std::uint64_t) { return aOwners; },
                [&](const UnansweredRun& aRun, const std::string& aOwner) {
                  sent.emplace_back(aRun.run_.run_, aOwner);
                  return aReached;
                });
    return sent;
  };
  CHECK(passOn({ "a", "b" }, true).empty());
  CHECK(passOn({ "b", "c" }, false) == Sent{ { 1, "c" } });
  CHECK(passOn({ "b", "c" }, true) == Sent{ { 1, "c" } });
  CHECK(passOn({ "c", "a" }, true).empty());
}

TEST_CASE("delegated runs are bounded and the newest are kept")
{
  DelegatedRuns runs({ .capacity_ = 2 });
  for (std::uint64_t run = 1; run <= 4; ++run) {
    runs.Add(Run(run), "host");
  }
  CHECK(runs.TakeOver(ListWithoutEngine(), kNow, kGone) ==
        std::vector{ Run(3).run_, Run(4).run_ });
}

} // namespace testing
