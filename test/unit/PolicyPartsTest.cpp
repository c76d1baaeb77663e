#include <doctest/doctest.h>
#include <goldcrestcroft/Policy.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("retry budget: extra attempts are limited to a share of successes")
{
  RetryBudget budget({ .share_ = 0.1, .burst_ = 2.0 });
  CHECK(budget.TryTake());
  CHECK(budget.TryTake());
  CHECK_FALSE(budget.TryTake());
  auto taken = 0;
  for (auto i = 0; i < 1000; ++i) {
    budget.OnSuccess();
    taken += budget.TryTake() ? 1 : 0;
  }
  CHECK(taken <= 100);
  CHECK(taken >= 98);
}

TEST_CASE("estimator: fits a line and adapts to a change")
{
  LinearEstimator estimator({ .initial_ = std::chrono::milliseconds{ 50 } });
  CHECK(estimator.Mean() == std::chrono::milliseconds{ 50 });
  for (auto i = 0; i < 400; ++i) {
    const auto size = 1.0 + i % 10;
    estimator.Observe(size, Duration(1000 + static_cast<int>(300 * size)));
  }
  CHECK(std::abs(estimator.Estimate(4.0).count() - 2200) < 50);
  CHECK(std::abs(estimator.Estimate(20.0).count() - 7000) < 400);
  for (auto i = 0; i < 1000; ++i) {
    estimator.Observe(1.0 + i % 10, Duration(9000));
  }
  CHECK(std::abs(estimator.Mean().count() - 9000) < 100);
}

TEST_CASE("stragglers: a slow server is ejected, probed and readmitted")
{
  VirtualClock clock;
  StragglerDetector detector({});
  const std::vector<ServerId> pool{ { "a" }, { "b" }, { "c" }, { "d" } };
  for (auto i = 0; i < 20; ++i) {
    detector.Observe({ "a" }, 8.0);
    for (const auto* healthy : { "b", "c", "d" }) {
      detector.Observe({ healthy }, 1.0);
    }
  }
  detector.Reevaluate(pool);
  CHECK(detector.IsEjected({ "a" }));
  CHECK_FALSE(detector.IsEjected({ "b" }));
  CHECK(detector.TryProbe({ "a" }, clock.Now()));
  CHECK_FALSE(detector.TryProbe({ "a" }, clock.Now()));
  for (auto i = 0; i < 6; ++i) {
    detector.Observe({ "a" }, 1.0);
  }
  detector.Reevaluate(pool);
  CHECK_FALSE(detector.IsEjected({ "a" }));
}

TEST_CASE("stragglers: no server is ejected if the whole pool slows down")
{
  StragglerDetector detector({});
  const std::vector<ServerId> pool{ { "a" }, { "b" }, { "c" } };
  for (auto i = 0; i < 20; ++i) {
    for (const auto& server : pool) {
      detector.Observe(server, 9.0);
    }
  }
  detector.Reevaluate(pool);
  for (const auto& server : pool) {
    CHECK_FALSE(detector.IsEjected(server));
  }
}

TEST_CASE(
  "routing: affinity outweighs the zone only while the server has capacity")
{
  RandomEngine random(1);
  CorrectedLoadRouting routing;
  const ServerId near{ "near" };
  const ServerId far{ "far" };
  std::vector<Candidate> candidates{
    { .server_ = &near, .slots_ = 10, .estimated_ = 3 },
    { .server_ = &far,
      .slots_ = 10,
      .estimated_ = 3,
      .sameZone_ = false,
      .affine_ = true }
  };
  CHECK(routing.Choose(candidates, random) == 1);
  candidates[1].estimated_ = 10;
  CHECK(routing.Choose(candidates, random) == 0);
}

TEST_CASE("gossip buffer: each update is sent a fixed number of times, unsent "
          "updates first")
{
  GossipBuffer buffer({ .transmissions_ = 3, .capacity_ = 8 });
  const QuarantineUpdate old{ .fingerprint_ = 9, .verdict_ = Verdict::Suspect };
  buffer.Add(old);
  CHECK(buffer.HasUnsent());
  CHECK(buffer.Take(4) == std::vector<QuarantineUpdate>{ old });
  CHECK_FALSE(buffer.HasUnsent());
  const QuarantineUpdate fresh{ .fingerprint_ = 10,
                                .verdict_ = Verdict::Suspect };
  buffer.Add(fresh);
  CHECK(buffer.Take(1) == std::vector<QuarantineUpdate>{ fresh });
  const QuarantineUpdate worse{ .fingerprint_ = 9,
                                .verdict_ = Verdict::Quarantined };
  buffer.Add(worse); // Replaces the earlier update and restarts its count.
  auto sent = 0;
  for (auto i = 0; i < 8; ++i) {
    for (const auto& update : buffer.Take(4)) {
      CHECK(update != old);
      sent += update == worse ? 1 : 0;
    }
  }
  CHECK(sent == 3);
  for (std::uint64_t i = 0; i < 100; ++i) {
    buffer.Add({ .fingerprint_ = i });
  }
  CHECK(buffer.Take(100).size() <= 8);
}

} // namespace testing
