#include "Property.h"

#include <goldcrestcroft/src/Gateway/EventRelay.h>
#include <goldcrestcroft/src/Gateway/PackedText.h>
#include <goldcrestcroft/src/Gateway/PeerFrames.h>
#include <goldcrestcroft/src/Gateway/ResponseEnd.h>
#include <platform/StoreRows.h>
#include <platform/TableCodec.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** \brief Changes, truncates or inserts bytes of a valid message. */
auto Corrupt(std::string aBytes, const std::vector<std::uint16_t>& aChoices)
  -> std::string
{
  for (const auto choice : aChoices) {
    if (aBytes.empty()) {
      break;
    }
    const auto at = choice % aBytes.size();
    switch (choice % 3) {
      case 0:
        aBytes[at] = static_cast<char>(choice >> 8U);
        break;
      case 1:
        aBytes.resize(at);
        break;
      default:
        aBytes.insert(at, 1, static_cast<char>(choice));
        break;
    }
  }
  return aBytes;
}

template<typename Try>
auto RunIgnoringError(Try aTry) -> void
{
  Handle(
    [&]() -> Result<int> {
      BOOST_LEAF_CHECK(aTry());
      return 0;
    },
    [](const Error&) { return 0; });
}

auto ExampleFrame() -> PeerFrame
{
  return StageOrderRequest{ .order_ = { .id_ = 3,
                                        .requestId_ = "request",
                                        .service_ = "service",
                                        .pieces_ = { 1, 2, 3 },
                                        .inputs_ = { "1.2.3.4:5/abc" } } };
}

} // namespace

TEST_CASE("corrupted frames and heartbeats of peers do not crash the decoders")
{
  CheckProperty([] {
    const auto choices = *Schedule(4);
    const auto frame = Corrupt(EncodeFrame(ExampleFrame()).substr(4), choices);
    RunIgnoringError([&] { return DecodeFrame(frame); });
    const auto beat = Corrupt(
      EncodeHeartbeat(
        { .probe_ = { .sender_ = { .host_ = { "h" } },
                      .subject_ = "1.2.3.4:5",
                      .updates_ = { { .record_ = { .host_ = { "i" } } } } },
          .leavingEngines_ = { { .id_ = "e" } } }),
      choices);
    RunIgnoringError([&] { return DecodeHeartbeat(beat); });
    constexpr std::size_t kMaxBytes = 10'000;
    const auto packed = Corrupt(Pack(std::string(100, 'x') + frame), choices);
    RunIgnoringError([&] { return Unpack(packed, kMaxBytes); });
  });
}

TEST_CASE("corrupted documents of the platform do not crash the decoders")
{
  CheckProperty([] {
    const platform::TableCodec codec;
    const auto choices = *Schedule(3);
    const auto config = Corrupt(
      R"({"version":3,"route_table":[{"name":"r","host":"h","prefix":"/",)"
      R"("route_type":"safe","stages":[{"service":"s","after":[0],"bytes":1}],)"
      R"("traffic_split":[{"service":"s","weight":1}]}],"services":[{"name":)"
      R"("s","pieces":{"batch":3}}],"tenants":[{"name":"t","api_keys":["k"]}]})",
      choices);
    RunIgnoringError([&] { return codec.DecodeRouting(config); });
    const auto engine = Corrupt(
      R"({"service":"s","address":"1.2.3.4:5","state":"ready"})", choices);
    RunIgnoringError([&] { return codec.DecodeEngine("i", engine); });
    const auto answer =
      Corrupt(R"({"items":[{"handle":"h"},{"reason":"gone"}]})", choices);
    RunIgnoringError([&] { return codec.DecodeStageResponse(answer, 2); });
    StoreReply reply;
    platform::ReadRows(
      Corrupt(R"({"rows":[{"key":"k","value":"AAAA","ver":1}],"ver":2})",
              choices),
      reply);
  });
}

TEST_CASE("relayed events do not depend on how the bytes are split")
{
  CheckProperty([] {
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
                               "id: 3\r\ndata: d\r\n\r\nid: 4\nda";
    const auto cuts = *Schedule(6);
    EventRelay relay;
    std::string passed;
    std::size_t at = 0;
    for (const auto cut : cuts) {
      const auto size = cut % 12;
      passed += relay.Feed(std::string_view(stream).substr(at, size));
      at = std::min(at + size, stream.size());
    }
    passed += relay.Feed(std::string_view(stream).substr(at));
    RC_ASSERT(passed + relay.Partial() == stream);
    RC_ASSERT(relay.Partial() == "id: 4\nda");
    RC_ASSERT(relay.LastId() == "3");
  });
}

TEST_CASE("the verdict on the end of a stream does not depend on how its bytes "
          "are split")
{
  CheckProperty([] {
    const std::string stream =
      ": c\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    const std::vector<std::size_t> ends{ 5, 20, 38, stream.size() };
    const auto choices = *Schedule(8);
    const auto length = choices[0] % (stream.size() + 1);
    const auto bytes = std::string_view(stream).substr(0, length);
    EventRelay relay;
    std::size_t passed = 0;
    for (std::size_t i = 1, at = 0; at < length; ++i) {
      const auto last = i >= choices.size();
      const auto size = last ? length - at : choices[i] % (length - at + 1);
      passed += relay.Feed(bytes.substr(at, size)).size();
      at += size;
    }
    const auto complete =
      std::count_if(ends.begin(), ends.end(),
                    [&](std::size_t aEnd) { return aEnd <= length; });
    const auto start =
      complete == 0 ? 0 : ends[static_cast<std::size_t>(complete - 1)];
    RC_ASSERT(passed == start);
    const auto withData = static_cast<std::size_t>(std::max(complete - 1L, 0L));
    RC_ASSERT(relay.EventsWithData() == withData);
    const ResponseEnd end{ .framing_ = ResponseFraming::Connection,
                           .events_ = relay.EventsWithData(),
                           .unfinishedBytes_ = relay.Partial().size() };
    RC_ASSERT(CheckStreamEnd(end) == (length > start ? BrokenOff::InsideEvent
                                      : withData == 0
                                        ? BrokenOff::BeforeFirstEvent
                                        : BrokenOff::No));
    auto framed = end;
    framed.framing_ = ResponseFraming::Chunked;
    RC_ASSERT(CheckStreamEnd(framed) ==
              (length > start ? BrokenOff::InsideEvent : BrokenOff::No));
  });
}

} // namespace testing
