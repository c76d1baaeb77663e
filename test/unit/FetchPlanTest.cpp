#include <doctest/doctest.h>
#include <goldcrestcroft/Membership.h>

#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

using Plan = FetchPlan<int>;

const Plan::Options kOptions;
const auto kAny = [](int) { return true; };

/** Addresses of the peers that are asked now. */
auto Ask(Plan& aPlan, TimePoint aNow) -> std::vector<std::string>
{
  std::vector<std::string> asked;
  while (const auto request = aPlan.Next(kAny, aNow)) {
    asked.push_back(request->address_);
  }
  return asked;
}

using Asked = std::vector<std::string>;

} // namespace

TEST_CASE("fetch plan: peers that do not answer do not delay the fetch from a "
          "live one by their timeouts")
{
  // The old behaviour asked one peer at a time, each for up to 800 ms: the
  // fourth one after 2.4 s.
  VirtualClock clock;
  const auto start = clock.Now();
  Plan plan;
  const std::set<std::string> dead{ "b", "c", "d" };
  for (const auto* peer : { "a", "b", "c", "d" }) {
    plan.OnHeard(peer, 1);
  }
  std::optional<TimePoint> answeredAt;
  std::map<std::string, TimePoint> connects;
  while (!answeredAt && clock.Now() - start < std::chrono::seconds{ 5 }) {
    for (const auto& peer : Ask(plan, clock.Now())) {
      connects[peer] = clock.Now();
      if (!dead.contains(peer)) {
        answeredAt = clock.Now();
      }
    }
    clock.Advance(milliseconds{ 50 });
    for (const auto& peer : Plan(plan).TimedOut(clock.Now())) {
      plan.OnFailed(peer, clock.Now());
    }
  }
  REQUIRE(answeredAt);
  CHECK(*answeredAt - start <= kOptions.timeout_);
  CHECK(connects.size() == 4);
}

TEST_CASE("fetch plan: a peer that answers in time is the only one asked, so "
          "that a change costs each host one transfer")
{
  VirtualClock clock;
  Plan plan;
  plan.OnHeard("a", 6);
  plan.OnHeard("b", 6);
  CHECK(Ask(plan, clock.Now()) == Asked{ "b" });
  clock.Advance(kOptions.hedgeDelay_ / 2);
  plan.OnAnswered("b");
  const auto isWanted = [](int aVersion) { return aVersion > 6; };
  CHECK_FALSE(plan.Next(isWanted, clock.Now()));
}

TEST_CASE("fetch plan: an answer with an old version does not end the search "
          "for the newest one")
{
  VirtualClock clock;
  Plan plan;
  plan.OnHeard("newest", 6);
  plan.OnHeard("older", 3);
  CHECK(Ask(plan, clock.Now()) == Asked{ "older" });
  plan.OnAnswered("older");
  const auto isWanted = [](int aVersion) { return aVersion > 3; };
  const auto next = plan.Next(isWanted, clock.Now());
  REQUIRE(next);
  CHECK(*next == Plan::Request{ .address_ = "newest", .state_ = 6 });
}

TEST_CASE("fetch plan: the number of concurrent fetches and of candidates is "
          "bounded whatever the size of the fleet")
{
  VirtualClock clock;
  Plan plan;
  for (auto i = 0; i < 640; ++i) {
    plan.OnHeard("h" + std::to_string(i), 1);
  }
  Asked asked;
  for (auto i = 0; i < 100; ++i) {
    for (const auto& peer : Ask(plan, clock.Now())) {
      asked.push_back(peer);
    }
    clock.Advance(milliseconds{ 10 });
  }
  CHECK(asked == Asked{ "h639", "h638", "h637" });
  std::size_t tried = asked.size();
  while (!asked.empty()) {
    for (const auto& peer : asked) {
      plan.OnFailed(peer, clock.Now());
    }
    asked = Ask(plan, clock.Now());
    tried += asked.size();
  }
  CHECK(tried == kOptions.maxCandidates_);
}

TEST_CASE("fetch plan: a peer that failed is not preferred again while others "
          "are known, and is asked again when it is the only one")
{
  VirtualClock clock;
  Plan plan;
  plan.OnHeard("a", 1);
  CHECK(Ask(plan, clock.Now()) == Asked{ "a" });
  plan.OnFailed("a", clock.Now());
  CHECK(plan.Skipped(clock.Now()) == 1);
  CHECK(Ask(plan, clock.Now()).empty()); // It was not heard again.
  plan.OnHeard("b", 1);
  plan.OnHeard("a", 1);
  CHECK(Ask(plan, clock.Now()) == Asked{ "b" });
  plan.OnFailed("b", clock.Now());
  CHECK(Ask(plan, clock.Now()) == Asked{ "a" });
  plan.OnAnswered("a");
  clock.Advance(kOptions.skipTime_);
  CHECK(plan.Skipped(clock.Now()) == 0);
}

TEST_CASE("fetch plan: a peer is not asked twice at the same time")
{
  VirtualClock clock;
  Plan plan;
  plan.OnHeard("a", 1);
  CHECK(Ask(plan, clock.Now()) == Asked{ "a" });
  plan.OnHeard("a", 2);
  clock.Advance(kOptions.hedgeDelay_ * 2);
  CHECK(Ask(plan, clock.Now()).empty());
  plan.OnAnswered("a");
  CHECK(Ask(plan, clock.Now()) == Asked{ "a" });
}

} // namespace testing
