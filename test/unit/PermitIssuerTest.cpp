#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineIncarnation kStart{ "e", 5 };

/** Number of permits that an issuer grants in a span if it is asked every
 * millisecond. */
auto Granted(PermitIssuer& aIssuer, double aPerSecond, VirtualClock& aClock,
             Duration aFor) -> std::size_t
{
  std::size_t granted = 0;
  for (const auto end = aClock.Now() + aFor; aClock.Now() < end;
       aClock.Advance(milliseconds{ 1 })) {
    granted +=
      aIssuer.Take(kStart, aPerSecond, {}, aClock.Now()).granted_ ? 1 : 0;
  }
  return granted;
}

} // namespace

TEST_CASE(
  "an issuer issues the whole limit and does not accumulate unused permits")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1", clock.Now());
  Granted(issuer, 10.0, clock, seconds{ 3 });
  clock.Advance(seconds{ 20 });
  CHECK(Granted(issuer, 10.0, clock, seconds{ 4 }) <= 42);
  CHECK(Granted(issuer, 10.0, clock, seconds{ 10 }) >= 99);
  // A lowered or raised limit takes effect at once.
  CHECK(Granted(issuer, 0.5, clock, seconds{ 8 }) <= 5);
  CHECK(Granted(issuer, 100.0, clock, seconds{ 4 }) >= 380);
}

TEST_CASE("an engine with a limit of zero is still tried at the minimum rate")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1", clock.Now());
  const auto granted = Granted(issuer, 0.0, clock, seconds{ 60 });
  CHECK(granted >= 6);
  CHECK(granted <= 7);
}

TEST_CASE("a host that has just become the first owner, was paused or is only "
          "the second owner issues a share of the limit")
{
  VirtualClock clock;
  PermitIssuer::Options options;
  const auto share = [&](double aLimit) {
    return options.reducedShare_ * aLimit + options.reducedPerSecond_;
  };
  std::vector<std::string> hosts{ "a|1", "b|1" };
  PermitIssuer issuer(options);
  issuer.SetHosts(hosts, "a|1", clock.Now());
  const auto owners = issuer.Owners(kStart);
  REQUIRE(owners.size() == 2);
  constexpr auto kLimit = 20.0;
  const auto maxGranted = static_cast<std::size_t>(share(kLimit) * 2.0) + 3;
  PermitIssuer second(options);
  second.SetHosts(hosts, owners[1], clock.Now());
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= maxGranted);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= maxGranted);
  // The first owner is gone.
  second.SetHosts({ owners[1] }, owners[1], clock.Now());
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= maxGranted);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) >= 39);
  second.OnProcessPaused(clock.Now());
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= maxGranted);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) >= 39);
  // The first owner is back, and gone again.
  second.SetHosts(hosts, owners[1], clock.Now());
  second.SetHosts({ owners[1] }, owners[1], clock.Now());
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= maxGranted);
}

TEST_CASE("a request gets a permit if its turn comes within its maximum wait, "
          "and each turn is issued once")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1", clock.Now());
  Granted(issuer, 4.0, clock, seconds{ 4 });
  std::vector<Duration> waits;
  for (;;) {
    const auto permit =
      issuer.Take(kStart, 4.0, milliseconds{ 900 }, clock.Now());
    if (!permit.granted_) {
      CHECK(permit.wait_ > milliseconds{ 900 });
      break;
    }
    waits.push_back(permit.wait_);
  }
  REQUIRE(waits.size() >= 3);
  for (std::size_t i = 1; i < waits.size(); ++i) {
    CHECK(waits[i] - waits[i - 1] == milliseconds{ 250 });
  }
}

} // namespace testing
