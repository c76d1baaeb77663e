#include "PoisonedFleet.h"

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kTarget = "/stream/x";
constexpr auto kFirst = "426388085c79";
constexpr auto kCrashing = "ad9947ddf4d8";
/** Number of crashes on which the users' rule bases its limit. */
constexpr std::size_t kCrashes = 5;
/** Number of requests with the part that may be sent later than kContact after
 * the last of kCrashes crashes. */
constexpr std::size_t kMaxLaterSends = 3;

/** \brief Entry hosts in front of engines that crash on a part of a prompt. */
class Fleet
{
public:
  static constexpr std::size_t kHosts = 3;

  Fleet()
    : fleet_(kHosts, { .part_ = kCrashing }, "model")
  {
  }
  auto Poisoned() -> PoisonedFleet& { return fleet_; }
  /** \brief Sends a request that has no copy, with the parts in its prompt. */
  auto Send(std::size_t aHost, const std::string& aParts) -> CallerResponse
  {
    const auto number = std::to_string(++requests_);
    return fleet_.Fleet().Call(
      aHost % kHosts, { .method_ = "POST",
                        .target_ = kTarget,
                        .headers_ = { { "Goldcrestcroft-Prefix-Hash",
                                        aParts + ",f" + number + ":250" } },
                        .body_ = "request " + number });
  }
  static auto With(const std::string& aPart) -> std::string
  {
    return kFirst + (":800," + aPart) + ":410";
  }
  /** \brief Sends requests with the part, all of them different, until engines
   * have crashed kCrashes times or a request is refused. */
  auto CrashEngines() -> void
  {
    for (std::size_t i = 0; i < kCrashes; ++i) {
      Send(i, With(kCrashing));
      fleet_.AwaitStarted();
    }
  }

private:
  PoisonedFleet fleet_;
  std::size_t requests_ = 0;
};

} // namespace

TEST_CASE("requests that share a crashing part of their prompt are refused at "
          "all hosts although no two are alike")
{
  Fleet fleet;
  fleet.CrashEngines();
  const auto later = PoisonedFleet::AwaitContact();
  SUBCASE("while hosts run") {}
  SUBCASE("after all hosts were killed")
  {
    auto& hosts = fleet.Poisoned().Fleet();
    for (std::size_t host = 0; host < Fleet::kHosts; ++host) {
      hosts.ProcessOf(host).Kill();
    }
    for (std::size_t host = 0; host < Fleet::kHosts; ++host) {
      hosts.Start(host);
    }
    for (std::size_t host = 0; host < Fleet::kHosts; ++host) {
      REQUIRE(hosts.AwaitReady(host));
    }
    PoisonedFleet::AwaitContact();
  }
  constexpr std::size_t kLater = 9;
  for (std::size_t i = 0; i < kLater; ++i) {
    fleet.Send(i, Fleet::With(kCrashing));
    fleet.Poisoned().AwaitStarted();
  }
  CHECK(fleet.Poisoned().SendsAfter(later) <= kMaxLaterSends);
  const auto refused = fleet.Send(0, Fleet::With(kCrashing));
  CHECK(refused.status_ == 503);
  CHECK(CountOf(refused.body_, "crashes_engines") == 1);
}

TEST_CASE("a crashing part of a prompt is recognised in any spelling")
{
  Fleet fleet;
  fleet.CrashEngines();
  PoisonedFleet::AwaitContact();
  for (const auto* part :
       { "AD9947DDF4D8", "00ad9947ddf4d8", " ad9947ddf4d8" }) {
    CAPTURE(part);
    CHECK(fleet.Send(0, Fleet::With(part)).status_ == 503);
  }
}

TEST_CASE("sound requests with the first part of crashing ones are served")
{
  Fleet fleet;
  const auto sendSound = [&](std::size_t aHost) {
    return fleet.Send(aHost, Fleet::With("9abe427e90ed")).status_;
  };
  for (std::size_t i = 0; i < kCrashes; ++i) {
    fleet.Send(i, Fleet::With(kCrashing));
    fleet.Poisoned().AwaitStarted();
    CHECK(sendSound(i) == 200);
  }
  PoisonedFleet::AwaitContact();
  for (std::size_t host = 0; host < Fleet::kHosts; ++host) {
    CAPTURE(host);
    CHECK(sendSound(host) == 200);
    CHECK(fleet.Send(host, kFirst + std::string(":800")).status_ == 200);
  }
}

} // namespace testing
