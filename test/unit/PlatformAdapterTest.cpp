#include "Failure.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <platform/TableCodec.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kConfig = R"({"version": 7, "route_table": [
  {"name": "r1", "host": "a.example", "prefix": "/p/",
   "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 1200,
   "priority": 1,
   "traffic_split": [{"service": "m", "weight": 90},
                     {"service": "n", "weight": 10}],
   "max_attempts": 2,
   "stages": [{"service": "s", "after": [], "bytes": 800000},
              {"service": "s", "after": [0], "bytes": 6000.0}],
   "anonymous": false, "session_affinity": true, "stream_resume": true,
   "gap_target_ms": 250},
  {"name": "r2", "host": "a.example", "prefix": "/q/", "service": "m",
   "route_type": "new-kind", "max_attempts": "many"}],
 "services": [
  {"name": "m", "health_path": "/h", "max_connections": 280,
   "engine": {"slots": 64, "kv_capacity": 1000}},
  {"name": "s", "pieces": {"slots": 1, "queue": 2, "batch": 12,
   "call_ms": 240.0, "item_ms": 17.5, "headroom_mb": 14.0, "handle_s": 4.0}}],
 "limits": {"max_header_bytes": 100, "idle_timeout_ms": 9000},
 "tenants": [{"name": "t", "api_keys": ["k1", 5, "k2"], "priority": 2}]})";

auto Decode(const std::string& aText) -> RoutingTable
{
  return Handle([&] { return platform::TableCodec().DecodeRouting(aText); },
                [](const Error&) { return RoutingTable(); });
}

} // namespace

TEST_CASE("a configuration is decoded into a routing table")
{
  const auto routing = Decode(kConfig);
  CHECK(routing.Version() == 7);
  const auto* route = routing.FindRoute("a.example", "/p/x");
  REQUIRE(route != nullptr);
  CHECK(route->kind_ == RouteKind::Streaming);
  CHECK(route->objective_ == std::chrono::milliseconds{ 1200 });
  CHECK(route->split_.size() == 2);
  CHECK(route->resumable_);
  CHECK(route->gapObjective_ == std::chrono::milliseconds{ 250 });
  REQUIRE(route->stages_.size() == 2);
  CHECK(route->stages_[1].after_ == std::vector<std::size_t>{ 0 });
  CHECK(route->stages_[1].resultBytes_ == 6000.0);
  const auto* stage = routing.FindService("s");
  REQUIRE(stage != nullptr);
  REQUIRE(stage->stage_);
  CHECK(stage->stage_->pieceTime_ == std::chrono::microseconds{ 17'500 });
  CHECK(stage->stage_->headroomBytes_ == 14e6);
  CHECK(routing.Limits().maxHeaderBytes_ == 100);
  CHECK(routing.Limits().maxBodyBytes_ == ClientLimits{}.maxBodyBytes_);
  REQUIRE(routing.FindKey("k2") != nullptr);
  CHECK(routing.FindKey("k2")->rank_ == 2);
}

TEST_CASE("a route of an unknown kind is not idempotent")
{
  const auto routing = Decode(kConfig);
  const auto* route = routing.FindRoute("a.example", "/q/");
  REQUIRE(route != nullptr);
  CHECK(route->kind_ == RouteKind::Unsafe);
  CHECK(route->maxAttempts_ == 1);
  CHECK(route->split_ == std::vector<SplitTarget>{ { .service_ = "m" } });
}

TEST_CASE("text that is not a configuration is rejected")
{
  const platform::TableCodec codec;
  for (const auto* text : { "", "{", "[]", "{}", R"({"version": "7"})" }) {
    CHECK(FailureOfResult([&] { return codec.DecodeRouting(text); }).kind_ ==
          ErrorKind::InvalidConfiguration);
  }
}

TEST_CASE("an engine entry is decoded, and malformed ones are rejected")
{
  const platform::TableCodec codec;
  const auto entry = Handle(
    [&] {
      return codec.DecodeEngine(
        "i-1", R"({"service": "s", "address": "1.2.3.4:5", "zone": "z",
                   "slots": 6, "state": "draining", "born": 17})");
    },
    [](const Error&) { return EngineEntry{}; });
  CHECK(entry == EngineEntry{ .id_ = "i-1",
                              .service_ = "s",
                              .address_ = "1.2.3.4:5",
                              .zone_ = "z",
                              .slots_ = 6,
                              .draining_ = true,
                              .startedAt_ = 17 });
  for (const auto* text :
       { "", "\xff\xfe", "7", "{}", R"({"service": 5, "address": "a:1"})",
         R"({"service": "s", "address": "a:1"})",
         R"({"service": "s", "address": "a:1", "state": "dancing"})" }) {
    CHECK(FailureOfResult([&] {
            return codec.DecodeEngine("i-2", text);
          }).kind_ == ErrorKind::Protocol);
  }
}

TEST_CASE("an entry of another writer, with one field missing or of another "
          "type, describes no engine")
{
  const platform::TableCodec codec;
  const nlohmann::json whole{
    { "service", "s" },  { "address", "1.2.3.4:5" }, { "zone", "z" },
    { "slots", 6 },      { "state", "ready" },       { "born", 17 },
    { "version", "v1" }, { "sequence", 4 },          { "warmup_left_ms", 1500 }
  };
  const auto decode = [&](const nlohmann::json& aEntry) {
    return Handle(
      [&]() -> Result<std::optional<EngineEntry>> {
        BOOST_LEAF_AUTO(entry, codec.DecodeEngine("i", aEntry.dump()));
        return std::optional(std::move(entry));
      },
      [](const Error&) { return std::optional<EngineEntry>(); });
  };
  REQUIRE(decode(whole));
  CHECK(decode(whole)->warmUpLeft_ == std::chrono::milliseconds{ 1500 });
  for (const auto* field : { "service", "address", "zone", "slots", "state" }) {
    auto entry = whole;
    entry.erase(field);
    CAPTURE(field);
    CHECK_FALSE(decode(entry));
  }
  for (const auto& [field, value] : whole.items()) {
    for (const auto& other :
         { nlohmann::json(nullptr), nlohmann::json::array(), nlohmann::json(-1),
           value.is_string() ? nlohmann::json(7) : nlohmann::json("7"),
           value.is_string() ? nlohmann::json(true) : nlohmann::json(0.5) }) {
      auto entry = whole;
      entry[field] = other;
      CAPTURE(entry.dump());
      // A part of a millisecond is a valid time.
      const auto isValid = field == "warmup_left_ms" && other == 0.5;
      CHECK(decode(entry).has_value() == isValid);
    }
  }
}

TEST_CASE("the key of an entry adds a field to requests to its engine")
{
  const platform::TableCodec codec;
  const std::string entry = R"({"service": "s", "address": "1.2.3.4:5",)"
                            R"( "zone": "z", "slots": 6, "state": "ready"})";
  for (const std::string key :
       { "", " i-1", "i-1 ", "i-1\r\nGoldcrestcroft-Tenant: w2", "i-1\n",
         "i\x01" }) {
    CAPTURE(key);
    CHECK(FailureOfResult([&] {
            return codec.DecodeEngine(key, entry);
          }).kind_ == ErrorKind::Protocol);
  }
  CHECK(Handle([&] { return codec.DecodeEngine("i-1", entry); },
               [](const Error&) { return EngineEntry{}; })
          .id_ == "i-1");
}

TEST_CASE("a row of another writer is held as the address of a host")
{
  const platform::TableCodec codec;
  const auto row = [](const std::string& aAddress) {
    return nlohmann::json{ { "zone", "z" }, { "peers", aAddress } }.dump();
  };
  for (const std::string& address :
       { std::string(), std::string("x"), std::string("1.2.3.4"),
         std::string("1.2.3.4:"), std::string("1.2.3.4:0"),
         std::string("1.2.3.4:99999"), std::string("1.2.3.4:5 "),
         std::string("1.2.3.4:5\r\n"), std::string(60'000, '1') }) {
    CAPTURE(address.substr(0, 20));
    CHECK(FailureOfResult([&] {
            return codec.DecodeHost("h", row(address));
          }).kind_ == ErrorKind::Protocol);
  }
  CHECK(Handle([&] { return codec.DecodeHost("h", row("1.2.3.4:5")); },
               [](const Error&) { return HostRecord{}; })
          .peerAddress_ == "1.2.3.4:5");
}

TEST_CASE(
  "a handle adds a field, or another handle, to the inputs of a request")
{
  const platform::TableCodec codec;
  for (const std::string handle :
       { "1.2.3.4:5/a\\r\\nX: y", "1.2.3.4:5/a,1.2.3.4:5/b", " 1.2.3.4:5/a",
         "1.2.3.4:5/a\\u0000" }) {
    CAPTURE(handle);
    const auto results = Handle(
      [&] {
        return codec.DecodeStageResponse(
          R"({"items":[{"handle":")" + handle + R"("}]})", 1);
      },
      [](const Error&) { return std::vector<PieceResult>{}; });
    REQUIRE(results.size() == 1);
    CHECK(results[0].end_ == PieceOutcome::Failed);
    CHECK(results[0].handle_.empty());
  }
}

TEST_CASE("a stage call is encoded and its response decoded")
{
  const platform::TableCodec codec;
  const auto call =
    codec.MakeStageCall({ { .requestId_ = "r",
                            .stage_ = 1,
                            .piece_ = 2,
                            .timeLeft_ = std::chrono::milliseconds{ 900 },
                            .inputs_ = { "1.2.3.4:5/a" } } });
  CHECK(call.body_ ==
        R"({"items":[{"id":"r","inputs":["1.2.3.4:5/a"],"piece":2,)"
        R"("remaining_ms":900,"stage":1}]})");
  const auto results = Handle(
    [&] {
      return codec.DecodeStageResponse(
        R"({"items":[{"handle":"h"},{"reason":"gone"},{"reason":"room"},{}]})",
        4);
    },
    [](const Error&) { return std::vector<PieceResult>{}; });
  REQUIRE(results.size() == 4);
  CHECK(results[0].handle_ == "h");
  CHECK(results[1].end_ == PieceOutcome::InputsLost);
  CHECK(results[2].end_ == PieceOutcome::NoResultMemory);
  CHECK(results[3].end_ == PieceOutcome::Failed);
  CHECK(FailureOfResult([&] {
          return codec.DecodeStageResponse("{}", 1);
        }).kind_ == ErrorKind::Protocol);
}

TEST_CASE("a handle contains the address of the engine that produced it")
{
  CHECK(platform::TableCodec().ProducerOf("10.1.64.9:8080/5c1e07a2e440") ==
        "10.1.64.9:8080");
}

TEST_CASE("headers are parsed, and forged values are bounded or rejected")
{
  const platform::TableCodec codec;
  CHECK(
    codec.ReadPrompt("5c1e07a2:800, 91bd3f06:410") ==
    std::vector<PromptPart>{ { "5c1e07a2", 800.0 }, { "91bd3f06", 410.0 } });
  CHECK(codec.ReadPieceCounts("3,0,x,99999999999") ==
        std::vector<std::uint32_t>{ 3, 0, 0, 1000 });
  CHECK(codec.ReadLoad("3,0,8") ==
        EngineLoadReport{ .running_ = 3, .waiting_ = 0, .slots_ = 8 });
  CHECK_FALSE(codec.ReadLoad("3,-1,8"));
  CHECK(codec.ReadLoad("3,0,8,250") ==
        EngineLoadReport{
          .running_ = 3, .waiting_ = 0, .slots_ = 8, .slowdown_ = 2.5 });
  // Later versions of the header may have more fields.
  CHECK(codec.ReadLoad("3,0,8,250,x,7") == codec.ReadLoad("3,0,8,250"));
  for (const auto* text : { "3,0", "3,0,8,x", "3,0,8,0", "3,0,8,-5" }) {
    CHECK_FALSE(codec.ReadLoad(text));
  }
  CHECK_FALSE(codec.ReadLoad("busy"));
  CHECK(codec.DirectoryZone("/resolve?name=a&region=r&zone=z1") == "z1");
  CHECK(codec.DirectoryZone("/resolve?zone=&name=a").empty());
  CHECK(codec.DirectoryZone("/resolve").empty());
}

} // namespace testing
