#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EngineStart kStart{ "e", 5 };

/** How many requests an issuer lets be sent in a span, if it is asked every
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

TEST_CASE("an issuer saves up requests that nobody wanted, or gives less than "
          "the limit")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1");
  Granted(issuer, 10.0, clock, seconds{ 3 });
  clock.Advance(seconds{ 20 });
  CHECK(Granted(issuer, 10.0, clock, seconds{ 4 }) <= 42);
  CHECK(Granted(issuer, 10.0, clock, seconds{ 10 }) >= 99);
  // A limit that falls or rises holds at once.
  CHECK(Granted(issuer, 0.5, clock, seconds{ 8 }) <= 5);
  CHECK(Granted(issuer, 100.0, clock, seconds{ 4 }) >= 380);
}

TEST_CASE("an engine that takes nothing is never asked again, or often")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1");
  const auto granted = Granted(issuer, 0.0, clock, seconds{ 60 });
  CHECK(granted >= 6);
  CHECK(granted <= 7);
}

TEST_CASE("a host that has just become the first, stood still or is only the "
          "second gives the whole limit at once")
{
  VirtualClock clock;
  PermitIssuer::Options options;
  const auto share = [&](double aLimit) {
    return options.cautiousShare_ * aLimit + options.cautiousPerSecond_;
  };
  std::vector<std::string> hosts{ "a|1", "b|1" };
  PermitIssuer issuer(options);
  issuer.SetHosts(hosts, "a|1");
  const auto keepers = issuer.Keepers(kStart);
  REQUIRE(keepers.size() == 2);
  constexpr auto kLimit = 20.0;
  const auto most = static_cast<std::size_t>(share(kLimit) * 2.0) + 3;
  PermitIssuer second(options);
  second.SetHosts(hosts, keepers[1]);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= most);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= most);
  // The first is gone.
  second.SetHosts({ keepers[1] }, keepers[1]);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= most);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) >= 39);
  second.OnPause();
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= most);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) >= 39);
  // The first is back, and gone again.
  second.SetHosts(hosts, keepers[1]);
  second.SetHosts({ keepers[1] }, keepers[1]);
  CHECK(Granted(second, kLimit, clock, seconds{ 2 }) <= most);
}

TEST_CASE("a request that can wait is refused although its turn comes in time, "
          "or the same turn is given twice")
{
  VirtualClock clock;
  PermitIssuer issuer;
  issuer.SetHosts({ "a|1" }, "a|1");
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
