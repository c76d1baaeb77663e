#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <platform/StoreRows.h>
#include <platform/StoreTarget.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("values of any length survive encoding and decoding of rows")
{
  for (std::size_t size = 0; size < 12; ++size) {
    std::string value(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
      value[i] = static_cast<char>(i * 37);
    }
    const auto call = nlohmann::json::parse(platform::MakeTransaction(
      StoreTable::Hosts, { { .key_ = "h", .value_ = value } }));
    const nlohmann::json response{ { "rows", call.at("writes") },
                                   { "ver", 1 } };
    StoreReply reply;
    REQUIRE(platform::ReadRows(response.dump(), reply));
    REQUIRE(reply.rows_.size() == 1);
    CHECK(reply.rows_[0].value_ == value);
  }
}

TEST_CASE("rows of the store are decoded and encoded")
{
  StoreReply reply;
  CHECK(platform::ReadRows(
    R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x","ver":4},
                {"table":"t","part":"","key":"x","ver":5,"deleted":true},
                {"table":"t","part":"p","key":"y","value":"","ver":6}, 7],
        "truncated":true,"ver":9,"now_ms":1})",
    reply));
  CHECK(reply.truncated_);
  CHECK(reply.version_.number_ == 9);
  REQUIRE(reply.rows_.size() >= 2);
  CHECK(reply.rows_[0] == StoreRow{ .key_ = "k",
                                    .value_ = "node-1",
                                    .version_ = { .number_ = 4 } });
  CHECK(reply.rows_[1].removed_);
  CHECK_FALSE(platform::ReadRows("<html>", reply));
  const auto body = platform::MakeTransaction(
    StoreTable::Hosts, { { .key_ = "h1", .value_ = "node-1" } });
  CHECK(body.find("\"value\":\"bm9kZS0x\"") != std::string::npos);
}

TEST_CASE("a change states the version that its row must have")
{
  const auto call = nlohmann::json::parse(
    platform::MakeTransaction(StoreTable::StreamVersions,
                              { { .key_ = "a", .value_ = "x", .expected_ = 7 },
                                { .key_ = "b", .expected_ = 0 },
                                { .key_ = "c" } }));
  REQUIRE(call.at("expected_revision").size() == 2);
  CHECK(call.at("expected_revision")[0].at("ver") == 7);
  CHECK(call.at("expected_revision")[1].at("ver") == 0);
  REQUIRE(call.at("writes").size() == 1);
  CHECK(call.at("writes")[0].at("key") == "a");
  CHECK(call.at("remove").size() == 2);
}

TEST_CASE("a key with bytes that have a meaning in a query is written escaped")
{
  const auto encoded = [](const std::string& aKey) {
    return platform::StoreTarget("/p").With("k", aKey).With("n", 7).Text();
  };
  CHECK(encoded("model-1") == "/p?k=model%2D1&n=7");
  CHECK(encoded("a&to=%00 /") == "/p?k=a%26to%3D%2500%20%2F&n=7");
  CHECK(encoded("a+\r\nX: y\xff") == "/p?k=a%2B%0D%0AX%3A%20y%FF&n=7");
}

} // namespace testing
