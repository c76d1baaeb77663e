#include <doctest/doctest.h>
#include <goldcrestcroft/Routing.h>
#include <goldcrestcroft/src/Gateway/PeerFrames.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using namespace std::chrono_literals;

/** Bytes as hexadecimal digits. */
auto ToDigits(std::string_view aBytes) -> std::string
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (const auto letter : aBytes) {
    const auto byte = static_cast<unsigned char>(letter);
    digits += { kDigits[byte >> 4U], kDigits[byte & 0xFU] };
  }
  return digits;
}

auto FromDigits(std::string_view aDigits) -> std::string
{
  std::string bytes;
  constexpr auto kBase = 16;
  for (std::size_t i = 0; i + 1 < aDigits.size(); i += 2) {
    bytes += static_cast<char>(
      std::stoi(std::string(aDigits.substr(i, 2)), nullptr, kBase));
  }
  return bytes;
}

struct LandedFrame
{
  PeerFrame frame_;
  /** As hosts of 9e0348c send it, without its length. */
  std::string digits_;
};

/** One frame of each kind with all fields that 9e0348c knows. */
auto LandedFrames() -> std::vector<LandedFrame>
{
  const StoreVersion row{ .era_ = 2, .number_ = 3 };
  PromptWork prompt{ .service_ = "model" };
  prompt.home_ = "e1";
  prompt.zone_ = "z1";
  prompt.ownTokens_ = 7;
  prompt.outputTokens_ = 5;
  prompt.sharedParts_.push_back({ .fingerprint_ = 11, .tokens_ = 400 });
  return {
    { StateRequest{ .configurationRow_ = row,
                    .engineRows_ = { .era_ = 2, .number_ = 9 },
                    .configurationVersion_ = 4,
                    .wholeFleet_ = true },
      "010003000000000000000900000000000000010200000000000000020000"
      "00000000000400000000000000" },
    { StateReply{
        .configuration_ = { { .key_ = "c", .value_ = "x", .version_ = row } },
        .engines_ = { { .key_ = "e", .version_ = row, .removed_ = true } },
        .configurationRow_ = row,
        .engineRows_ = row,
        .wholeEngines_ = true,
        .configurationAge_ = 5ms,
        .engineAge_ = 6ms,
        .hosts_ = { { .record_ = { .host_ = { "h1" },
                                   .incarnation_ = 8,
                                   .heartbeat_ = 2,
                                   .zone_ = { "z1" },
                                   .callerAddress_ = "1.2.3.4:5",
                                   .peerAddress_ = "1.2.3.4:6",
                                   .power_ = 0.5,
                                   .leaving_ = true },
                      .state_ = PeerState::Suspected } },
        .limits_ = { { .engine_ = "e1",
                       .startedAt_ = 9,
                       .perSecond_ = 1.5,
                       .statedAgo_ = 3ms } },
        .evacuations_ = { { .zone_ = "z2", .version_ = row } },
        .evacuationVersion_ = row },
      "010101000000010063030000000000000000010000000100780100000001"
      "006503000000000000000100000000881300000000000070170000000000"
      "0001000000020068310800000000000000020000000000000002007a3109"
      "00312e322e332e343a350900312e322e332e343a36000000000000e03f01"
      "020100000002006531090000000000000001000000000000f83fb80b0000"
      "000000000200000000000000020000000000000002000000000000000300"
      "000000000000020000000000000003000000000000000102000000000000"
      "0003000000000000000100000002007a3202000000000000000300000000"
      "000000" },
    { StageOrderRequest{ .order_ = { .id_ = 9,
                                     .requestId_ = "r",
                                     .service_ = "s",
                                     .stage_ = 2,
                                     .pieces_ = { 0, 3 },
                                     .key_ = "k",
                                     .inputs_ = { "a/1" },
                                     .resultBytes_ = 6e4,
                                     .rank_ = 1,
                                     .zone_ = "z",
                                     .prompt_ = prompt },
                         .timeLeft_ = 2s,
                         .dueIn_ = -1s },
      "010209000000000000000100720100730200000001006b01007a00000000"
      "004ced4001000000020000000000000003000000010000000300612f3180"
      "841e0000000000c0bdf0ffffffffff0105006d6f64656c0200653102007a"
      "310700000005000000010000000b0000000000000090010000" },
    { StageOrderResults{ .order_ = 9,
                         .results_ = { { .piece_ = 3,
                                         .end_ = PieceOutcome::Begun,
                                         .handle_ = "a/2",
                                         .retryAfter_ = 4ms,
                                         .assignedEngine_ = "e1" } } },
      "010309000000000000000100000003000000080300612f32a00f00000000"
      "000002006531" },
    { StageOrderCancel{ .service_ = "s", .order_ = 9 },
      "01040100730900000000000000" },
    { StageRelease{ .service_ = "s", .handles_ = { "a/1", "a/2" } },
      "0105010073020000000300612f310300612f32" },
    { StageBacklog{ .service_ = "s", .waits_ = { { 0, 5us }, { 2, 9us } } },
      "010601007302000000000000000500000000000000020000000900000000"
      "000000" },
    { StagePlanNotice{
        .service_ = "s", .order_ = 9, .pieces_ = 4, .rank_ = 1, .dueIn_ = 7ms },
      "010701007309000000000000000400000001000000581b000000000000" },
  };
}

auto LandedHeartbeat() -> FleetHeartbeat
{
  FleetHeartbeat beat{
    .probe_ = { .sender_ = { .host_ = { "h1" }, .power_ = 2.5 },
                .kind_ = ProbeKind::PingRequest,
                .probe_ = 7,
                .subject_ = "1.2.3.4:5",
                .hosts_ = 9,
                .updates_ = { { .record_ = { .host_ = { "h2" } },
                                .state_ = PeerState::Gone } } },
    .configurationRow_ = { .era_ = 3, .number_ = 4 },
    .engineRows_ = { .era_ = 2, .number_ = 5 },
    .configurationVersion_ = 6,
    .configurationAge_ = 1ms,
    .engineAge_ = 2ms,
    .lostRuns_ = { { .request_ = 1,
                     .run_ = 2,
                     .beganAgo_ = 3s,
                     .endedAgo_ = 1s } },
    .suspects_ = { { .request_ = 3,
                     .generation_ = 4,
                     .level_ = SuspectLevel::Quarantined,
                     .left_ = 5min } },
    .leavingEngines_ = { { .id_ = "e1", .startedAt_ = 8 } },
    .limits_ = { { .engine_ = "e1",
                   .startedAt_ = 9,
                   .perSecond_ = 1.5,
                   .statedAgo_ = 3ms } },
    .permits_ = { { .number_ = 8,
                    .permit_ = { .granted_ = true, .wait_ = 5ms } } },
    .unanswered_ = { { .run_ = { .request_ = 1, .run_ = 2, .beganAgo_ = 3s },
                       .engine_ = "e1",
                       .startedAt_ = 8 } },
    .evacuationVersion_ = { .era_ = 3, .number_ = 9 }
  };
  beat.permitQueries_.push_back(
    { .number_ = 4, .limit_ = { .engine_ = "e1" }, .warmUpPerSecond_ = 11.0 });
  return beat;
}

constexpr std::string_view kHeartbeatDigits =
  "010200683100000000000000000000000000000000000000000000000000"
  "0000000440000307000000000000000900312e322e332e343a3509000000"
  "010000000200683200000000000000000000000000000000000000000000"
  "000000000000f03f000304000000000000000500000000000000e8030000"
  "00000000d007000000000000010000000100000000000000020000000000"
  "0000c0c62d000000000040420f0000000000010000000300000000000000"
  "04000000020000000000a3e1110000000001000000020065310800000000"
  "0000000100000002006531090000000000000001000000000000f83fb80b"
  "000000000000010000000400000000000000020065310000000000000000"
  "000000000000000000000000000000000000000000000000000100000008"
  "000000000000000188130000000000000100000001000000000000000200"
  "000000000000c0c62d000000000000000000000000000200653108000000"
  "000000000000000000000000000000000000000000000000000000000000"
  "030000000000000002000000000000000600000000000000030000000000"
  "00000900000000000000010000000000002640";

constexpr std::size_t kLengthBytes = 4;

} // namespace

TEST_CASE(
  "frames of hosts of an earlier landing are read, and theirs read ours")
{
  for (const auto& landed : LandedFrames()) {
    CAPTURE(landed.frame_.index());
    CHECK(DecodeFrame(FromDigits(landed.digits_)).value() == landed.frame_);
    // Fields that are added follow the others, so that those hosts ignore them.
    const auto sent = EncodeFrame(landed.frame_).substr(kLengthBytes);
    CHECK(ToDigits(sent).starts_with(landed.digits_));
  }
}

TEST_CASE("heartbeats of hosts of an earlier landing are read, and theirs read "
          "ours")
{
  const auto beat = LandedHeartbeat();
  CHECK(DecodeHeartbeat(FromDigits(kHeartbeatDigits)).value() == beat);
  CHECK(ToDigits(EncodeHeartbeat(beat)).starts_with(kHeartbeatDigits));
}

TEST_CASE("rows of hosts of an earlier landing are read, and theirs read ours")
{
  const VersionList versions({ "v1", "2024:a", "" });
  const std::string row = "2:v16:2024:a0:";
  CHECK(versions.Encode() == row);
  CHECK(VersionList::Decode(row) == versions);
}

} // namespace testing
