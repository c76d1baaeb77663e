#include "Failure.h"

#include <platform/TableCodec.h>

#include <doctest/doctest.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Longer than any deployment needs, and far below the maximum of Duration. */
constexpr Duration kMaxPlausible = std::chrono::hours{ 24 * 366 };

auto RouteWith(const std::string& aFields) -> Route
{
  const platform::TableCodec codec;
  const auto text =
    R"({"version":1,"route_table":[{"name":"r","host":"h","prefix":"/",)"
    R"("service":"s",)" +
    aFields +
    R"(}],"services":[{"name":"s","pieces":{"batch":1e300,"slots":1e300,)"
    R"("call_ms":1e300,"item_ms":1e300,"handle_s":1e306}}],)"
    R"("limits":{"idle_timeout_ms":1e300,"max_body_bytes":1e300}})";
  return Handle(
    [&]() -> Result<Route> {
      BOOST_LEAF_AUTO(routing, codec.DecodeRouting(text));
      const auto& stage = *routing.FindService("s")->stage_;
      CHECK(stage.callTime_ <= kMaxPlausible);
      CHECK(stage.pieceTime_ <= kMaxPlausible);
      CHECK(stage.keepFor_ <= kMaxPlausible);
      CHECK(routing.Limits().idleTimeout_ <= kMaxPlausible);
      return *routing.FindRoute("h", "/");
    },
    [](const Error&) { return Route{}; });
}

} // namespace

TEST_CASE("an oversized number in the configuration does not overflow")
{
  for (const auto* number : { "1e300", "9.3e18", "1.0e19", "1e12" }) {
    CAPTURE(number);
    const auto fields =
      std::string(R"("timeout_ms":)") + number + R"(,"target_latency_ms":)" +
      number + R"(,"gap_target_ms":)" + number + R"(,"priority":)" + number;
    const auto route = RouteWith(fields);
    CHECK(route.timeout_ > Duration{});
    CHECK(route.timeout_ <= kMaxPlausible);
    CHECK(route.objective_ <= kMaxPlausible);
    CHECK(route.gapObjective_.value_or(Duration::max()) <= kMaxPlausible);
    CHECK(route.rank_ > 0);
  }
  CHECK(RouteWith(R"("priority":-1e300)").rank_ < 0);
}

TEST_CASE("a header number that is negative or not finite is not used")
{
  const platform::TableCodec codec;
  for (const auto* number :
       { "inf", "nan", "-nan", "1e400", "-1", "infinity" }) {
    CAPTURE(number);
    CHECK_FALSE(codec.ReadLoad(std::string(number) + ",0,8"));
    const auto parts = codec.ReadPrompt("a:" + std::string(number));
    REQUIRE(parts.size() == 1);
    CHECK(parts.front().tokens_ == 0.0);
  }
}

} // namespace testing
