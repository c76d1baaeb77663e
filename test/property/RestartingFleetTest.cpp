#include "RestartingFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("restarting fleet: hosts that start while others restart do not miss "
          "any, and what a host sends stays within a bound for any fleet")
{
  // All hosts restart within the same time, so the changes that there are to
  // report grow with the fleet.
  constexpr auto kTime = seconds{ 22 };
  constexpr auto kSettle = seconds{ 6 };
  // Pushes, probes at the faster period, their acks, and indirect probes.
  const FailureDetector::Options detector;
  const auto perSecond = [](Duration aPeriod) {
    return 1e6 / static_cast<double>(aPeriod.count());
  };
  const auto bound = static_cast<double>(detector.fanOut_) *
                       perSecond(detector.minPushInterval_) +
                     perSecond(detector.fastPeriod_) *
                       static_cast<double>(2 + 4 * detector.indirectProbes_);
  for (const std::size_t hosts : { 80, 300 }) {
    RestartingFleet fleet({ .hosts_ = hosts,
                            .handling_ = milliseconds{ 1 },
                            .addedHandling_ = milliseconds{ 1 },
                            .restartEvery_ = Duration{ kTime } / hosts });
    fleet.Run(seconds{ 2 });
    const auto before = fleet.Datagrams();
    fleet.RestartAll();
    fleet.Run(kTime + kSettle);
    const auto sent = static_cast<double>(fleet.Datagrams() - before) /
                      static_cast<double>(hosts) / 28;
    CAPTURE(hosts);
    MESSAGE("datagrams of a host in a second: ", sent,
            ", most changes: ", fleet.MostChanges());
    CHECK(fleet.WronglyDropped() == 0);
    CHECK(fleet.Missing() == 0);
    CHECK(sent <= bound);
  }
}

} // namespace testing
