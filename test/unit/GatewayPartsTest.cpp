#include "Failure.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/EventRelay.h>
#include <goldcrestcroft/src/Gateway/FleetView.h>
#include <goldcrestcroft/src/Gateway/NodeSettings.h>
#include <goldcrestcroft/src/Gateway/PackedText.h>
#include <goldcrestcroft/src/Gateway/PeerFrames.h>
#include <goldcrestcroft/src/Observability/NonBlockingSink.h>

#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kSettings = R"({
  // A comment.
  "host": "h1", "availability_zone": "z1", "ip": "127.0.0.1",
  "callers": "127.0.0.1:8000", "peer_port": 9000, "store": "127.0.0.1:7000"
})";

} // namespace

TEST_CASE("only complete events are relayed")
{
  EventRelay relay;
  CHECK(relay.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(relay.LastId() == "1");
  CHECK(relay.Partial() == "id: 2\nda");
  CHECK(relay.Feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(relay.LastId() == "2");
  CHECK(relay.Events() == 2);
  CHECK(relay.Feed("id:3\r\ndata: c\r\n\r\n") == "id:3\r\ndata: c\r\n\r\n");
  CHECK(relay.LastId() == "3");
  relay.Feed("id: 4\nda");
  relay.DropPartial();
  CHECK(relay.Feed("id: 4\ndata: d\n\n") == "id: 4\ndata: d\n\n");
}

TEST_CASE("callers receive addresses of ready hosts, those of their zone first")
{
  const FleetView view{ .self_ = "h1",
                        .hosts_ = {
                          { .id_ = "h1", .zone_ = "z1", .callerAddress_ = "1" },
                          { .id_ = "h2", .zone_ = "z1", .callerAddress_ = "2" },
                          { .id_ = "h3", .zone_ = "z2", .callerAddress_ = "3" },
                          { .id_ = "h4", .zone_ = "z1" },
                          { .id_ = "h5",
                            .zone_ = "z1",
                            .callerAddress_ = "5",
                            .leaving_ = true } } };
  using Addresses = std::vector<std::string>;
  CHECK(ChooseAddresses(view, "z1", 2) == Addresses{ "1", "2" });
  CHECK(ChooseAddresses(view, "z2", 2) == Addresses{ "3", "1", "2" });
  CHECK(ChooseAddresses({}, "z1", 2).empty());
  CHECK(view.Coordinators() ==
        std::vector<std::string>{ "h1", "h2", "h3", "h4" });
}

TEST_CASE("a suspected host gets no callers and keeps its roles; batch "
          "coordinators are among the strongest hosts")
{
  const FleetView view{ .self_ = "h1",
                        .hosts_ = {
                          { .id_ = "h1", .callerAddress_ = "1" },
                          { .id_ = "h2",
                            .callerAddress_ = "2",
                            .suspected_ = true,
                            .power_ = 5.0 },
                          { .id_ = "h3", .power_ = 4.0 },
                          { .id_ = "h4", .power_ = 5.0 },
                          { .id_ = "h5", .power_ = 1.9 },
                          { .id_ = "h6", .leaving_ = true, .power_ = 5.0 } } };
  CHECK(ChooseAddresses(view, "", 1) == std::vector<std::string>{ "1" });
  CHECK(view.Coordinators() == std::vector<std::string>{ "h2", "h3", "h4" });
}

TEST_CASE("settings are parsed, and errors name the faulty setting")
{
  const auto settings = Handle([] { return ParseNodeSettings(kSettings); },
                               [](const Error&) { return LoadedSettings{}; })
                          .settings_;
  CHECK(settings.host_ == "h1");
  CHECK(settings.PeerAddress() == "127.0.0.1:9000");
  CHECK(settings.StageAddress() == "127.0.0.1:9001");

  const auto problemOf = [](const std::string& aText) {
    return FailureOfResult([&] { return ParseNodeSettings(aText); }).message_;
  };
  CHECK(problemOf("{").find("not JSON") != std::string::npos);
  CHECK(problemOf(R"({"host": 1})").find("'host'") != std::string::npos);
  std::string text = kSettings;
  text.replace(text.find("127.0.0.1:8000"), 14, "nowhere");
  CHECK(problemOf(text).find("'callers' is not an address") !=
        std::string::npos);
  text = kSettings;
  text.insert(1, "\"unheard_of\": 1,");
  CHECK(ValueOf([&] { return ParseNodeSettings(text); }).warnings_ ==
        std::vector<std::string>{
          "'unheard_of' is not a known key; it is ignored" });
}

TEST_CASE("frames between hosts survive a round trip")
{
  const auto roundTrip = [](const PeerFrame& aFrame) {
    const auto bytes = EncodeFrame(aFrame);
    return Handle([&] { return DecodeFrame(bytes.substr(4)); },
                  [](const Error&) { return PeerFrame(StageOrderCancel{}); });
  };
  const PeerFrame ask =
    StageOrderRequest{ .order_ = { .id_ = 9,
                                   .requestId_ = "r",
                                   .service_ = "s",
                                   .stage_ = 2,
                                   .pieces_ = { 0, 3 },
                                   .inputs_ = { "a/1", "b/2" },
                                   .resultBytes_ = 6e4,
                                   .rank_ = 1,
                                   .zone_ = "z" },
                       .timeLeft_ = std::chrono::seconds{ 2 },
                       .dueIn_ = std::chrono::seconds{ -1 } };
  CHECK(roundTrip(ask) == ask);
  const PeerFrame state = StateReply{
    .configuration_ = { { .key_ = "c",
                          .value_ = std::string(100'000, 'x'),
                          .version_ = { .era_ = 2, .number_ = 3 } } },
    .engines_ = { { .key_ = "e",
                    .version_ = { .era_ = 1, .number_ = 4 },
                    .removed_ = true } },
    .configurationRow_ = { .era_ = 2, .number_ = 3 },
    .engineRows_ = { .era_ = 2, .number_ = 7 },
    .wholeEngines_ = true,
    .hosts_ = { { .record_ = { .host_ = { "i" } } } }
  };
  CHECK(roundTrip(state) == state);
  const PeerFrame question =
    StateRequest{ .configurationRow_ = { .era_ = 2, .number_ = 3 },
                  .engineRows_ = { .era_ = 1, .number_ = 7 },
                  .configurationVersion_ = 9,
                  .wholeFleet_ = true };
  CHECK(roundTrip(question) == question);
  const PeerFrame backlog =
    StageBacklog{ .service_ = "s",
                  .waits_ = { { 0, Duration{ 5 } }, { 2, Duration{ 9 } } } };
  CHECK(roundTrip(backlog) == backlog);
  FleetHeartbeat beat{
    .probe_ = { .sender_ = { .host_ = { "h" }, .power_ = 2.5 },
                .kind_ = ProbeKind::PingRequest,
                .probe_ = 7,
                .subject_ = "1.2.3.4:5",
                .hosts_ = 9,
                .updates_ = { { .record_ = { .host_ = { "i" } },
                                .state_ = PeerState::Suspected } } },
    .configurationRow_ = { .era_ = 3, .number_ = 4 },
    .engineRows_ = { .era_ = 2, .number_ = 5 },
    .configurationVersion_ = 6,
    .lostRuns_ = { { .request_ = 1,
                     .run_ = 2,
                     .beganAgo_ = std::chrono::seconds{ 3 },
                     .endedAgo_ = std::chrono::seconds{ 1 } } },
    .suspects_ = { { .request_ = 3,
                     .generation_ = 4,
                     .level_ = SuspectLevel::Quarantined,
                     .left_ = std::chrono::minutes{ 5 } } },
    .leavingEngines_ = { { .id_ = "e", .startedAt_ = 8 } },
    .unanswered_ = { { .run_ = { .request_ = 1,
                                 .run_ = 2,
                                 .beganAgo_ = std::chrono::seconds{ 3 } },
                       .engine_ = "e",
                       .startedAt_ = 8 } },
    .evacuationVersion_ = { .era_ = 3, .number_ = 9 }
  };
  beat.permitQueries_.push_back(
    { .number_ = 4, .limit_ = { .engine_ = "e" }, .warmUpPerSecond_ = 11.0 });
  CHECK(Handle([&] { return DecodeHeartbeat(EncodeHeartbeat(beat)); },
               [](const Error&) { return FleetHeartbeat{}; }) == beat);
}

TEST_CASE("a large configuration survives compression between hosts unchanged")
{
  std::string table = R"({"route_table":[)";
  for (auto i = 0; i < 1000; ++i) {
    table += fmt::format(
      R"({{"name":"r-{}","host":"h{}.example","prefix":"/p{}/","route_type":)"
      R"("safe","timeout_ms":3000,"target_latency_ms":500,"priority":{},)"
      R"("service":"desk-{}","max_attempts":2}},)",
      i * 7919 % 1000, i % 17, i * 104'729, i % 3, i % 5);
  }
  const auto packed = Pack(table);
  // Twelve peers at once receive it over 10 Mbit/s within half a second.
  CHECK(packed.size() * 12 < 625'000);
  const auto unpack = [](std::string_view aPacked, std::size_t aMax) {
    return Handle([&] { return Unpack(aPacked, aMax); },
                  [](const Error& aError) {
                    CHECK(aError.kind_ == ErrorKind::Protocol);
                    return std::string("refused");
                  });
  };
  CHECK(unpack(packed, table.size()) == table);
  CHECK(unpack(Pack(""), 0).empty());
  CHECK(unpack(packed, table.size() - 1) == "refused");
  CHECK(unpack(packed.substr(0, packed.size() / 2), table.size()) == "refused");
  CHECK(unpack("abc", 100) == "refused");
}

TEST_CASE("a wait without a forecast is that of the rank before it")
{
  const StageBacklog backlog{ .waits_ = { { 0, Duration{ 5 } },
                                          { 2, Duration{ 9 } } } };
  CHECK(backlog.WaitOf(0) == Duration{ 5 });
  CHECK(backlog.WaitOf(1) == Duration{ 5 });
  CHECK(backlog.WaitOf(3) == Duration{ 9 });
  CHECK(StageBacklog{}.WaitOf(0) == Duration{});
}

TEST_CASE("a log whose reader is stalled drops lines and never blocks")
{
  int ends[2] = {};
  REQUIRE(pipe(ends) == 0);
  internal::NonBlockingSink sink(
    { .descriptor_ = ends[1], .linesPerSecond_ = 1e6, .burst_ = 1e6 });
  const std::string line(1000, 'x');
  for (auto i = 0; i < 200; ++i) {
    sink.log({ "test", spdlog::level::info, line });
  }
  CHECK(sink.Dropped() > 0);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("a log is limited in lines")
{
  const auto null = open("/dev/null", O_WRONLY);
  internal::NonBlockingSink sink(
    { .descriptor_ = null, .linesPerSecond_ = 0.001, .burst_ = 10.0 });
  for (auto i = 0; i < 100; ++i) {
    sink.log({ "test", spdlog::level::info, "line" });
  }
  CHECK(sink.Dropped() == 90);
  close(null);
}

} // namespace testing
