#include <doctest/doctest.h>
#include <goldcrestcroft/Routing.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

auto MakeTable() -> RoutingTable
{
  return RoutingTable(
    { .version_ = 7,
      .routes_ = { { .name_ = "whole", .host_ = "a.example", .prefix_ = "/" },
                   { .name_ = "part",
                     .host_ = "a.example",
                     .prefix_ = "/x/y/" },
                   { .name_ = "other",
                     .host_ = "b.example",
                     .prefix_ = "/x/" } },
      .keys_ = { { "k1", { .workspace_ = "w1" } } },
      .requiresApiKey_ = true });
}

auto NameOf(const Route* aRoute) -> std::string
{
  return aRoute == nullptr ? "none" : aRoute->name_;
}

} // namespace

TEST_CASE("routes: the longest matching prefix of the host wins")
{
  const auto table = MakeTable();
  CHECK(NameOf(table.FindRoute("a.example", "/x/y/z")) == "part");
  CHECK(NameOf(table.FindRoute("a.example:80", "/x/y")) == "whole");
  CHECK(NameOf(table.FindRoute("b.example", "/x/?q=/x/y/")) == "other");
  CHECK(NameOf(table.FindRoute("b.example", "/y/")) == "none");
  CHECK(NameOf(table.FindRoute("c.example", "/")) == "none");
}

TEST_CASE("API keys: look-up is exact")
{
  const auto table = MakeTable();
  REQUIRE(table.FindKey("k1") != nullptr);
  CHECK(table.FindKey("k1")->workspace_ == "w1");
  CHECK(table.FindKey("K1") == nullptr);
  CHECK(table.FindKey("") == nullptr);
}

TEST_CASE("routes: requests are split by weight")
{
  const Route route{ .split_ = { { .service_ = "a", .weight_ = 90 },
                                 { .service_ = "b", .weight_ = 10 },
                                 { .service_ = "c", .weight_ = 0 } } };
  auto toB = 0;
  for (auto i = 0; i < 1000; ++i) {
    const auto service = ChooseService(route, i / 1000.0);
    CHECK(service != "c");
    toB += service == "b" ? 1 : 0;
  }
  CHECK(toB == 100);
  CHECK(ChooseService(Route{}, 0.5).empty());
}

TEST_CASE("engine list: draining engines are not listed for their service")
{
  const EngineList list({ { .id_ = "1", .service_ = "s" },
                          { .id_ = "2", .service_ = "s", .draining_ = true } });
  CHECK(list.size() == 1);
  CHECK(list.EnginesOf("s").size() == 1);
  CHECK(list.EnginesOf("t").empty());
  CHECK(list.Contains({ .id_ = "1", .service_ = "s" }));
  // Another incarnation with the same id is a different engine.
  CHECK_FALSE(list.Contains({ .id_ = "1", .service_ = "s", .startedAt_ = 5 }));
}

} // namespace testing
