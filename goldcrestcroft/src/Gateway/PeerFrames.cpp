#include "PeerFrames.h"

#include "../Wire/MessageArchive.h"

#include <sstream>

namespace goldcrestcroft {

namespace {

using internal::Archive;
using internal::Bounded;
using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

auto Malformed() -> boost::leaf::error_id
{
  return Fail({ .kind_ = ErrorKind::Protocol,
                .message_ = "bytes from a peer that are no message",
                .remedy_ = "run the same release on all entry hosts" });
}

/** Text of any length up to that of a frame, in pieces that the bounded
 * archive accepts, so that no length from the network allocates much. */
template<typename Ar>
auto ArchiveLong(Ar& aArchive, std::string& aText) -> void
{
  constexpr std::size_t kPiece = internal::kMaxStringBytes;
  auto pieces =
    static_cast<std::uint32_t>((aText.size() + kPiece - 1) / kPiece);
  aArchive(pieces);
  std::string whole;
  for (std::uint32_t i = 0; i < pieces; ++i) {
    auto piece = i * kPiece < aText.size() ? aText.substr(i * kPiece, kPiece)
                                           : std::string();
    auto bounded = Bounded(piece);
    aArchive(bounded);
    whole += piece;
  }
  aText = std::move(whole);
}

template<typename Ar, typename Item, typename Each>
auto ArchiveMany(Ar& aArchive, std::vector<Item>& aItems, Each aEach) -> void
{
  auto count = static_cast<std::uint32_t>(aItems.size());
  aArchive(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    if (i >= aItems.size()) {
      aItems.emplace_back();
    }
    aEach(aArchive, aItems[i]);
  }
}

template<typename Ar>
auto ArchiveTexts(Ar& aArchive, std::vector<std::string>& aTexts) -> void
{
  ArchiveMany(aArchive, aTexts, [](auto& aEach, auto& aText) {
    auto bounded = Bounded(aText);
    aEach(bounded);
  });
}

template<typename Ar>
auto ArchiveTime(Ar& aArchive, Duration& aTime) -> void
{
  auto microseconds = static_cast<std::int64_t>(aTime.count());
  aArchive(microseconds);
  aTime = Duration(microseconds);
}

template<typename Ar>
auto ArchiveRows(Ar& aArchive, std::vector<StoreRow>& aRows) -> void
{
  ArchiveMany(aArchive, aRows, [](auto& aEach, StoreRow& aRow) {
    auto key = Bounded(aRow.key_);
    aEach(key, aRow.version_, aRow.removed_);
    ArchiveLong(aEach, aRow.value_);
  });
}

template<typename Ar>
auto ArchiveNews(Ar& aArchive, std::vector<PeerNews>& aNews) -> void
{
  ArchiveMany(aArchive, aNews, [](auto& aEach, PeerNews& aOne) {
    Archive(aEach, aOne.record_);
    auto state = static_cast<std::uint8_t>(aOne.state_);
    aEach(state);
    if (state > static_cast<std::uint8_t>(PeerState::Gone)) {
      throw std::out_of_range("state of a host");
    }
    aOne.state_ = static_cast<PeerState>(state);
  });
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StateRequest& aFrame) -> void
{
  aArchive(aFrame.configurationRow_, aFrame.engineRows_, aFrame.wholeFleet_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StateReply& aFrame) -> void
{
  ArchiveRows(aArchive, aFrame.configuration_);
  ArchiveRows(aArchive, aFrame.engines_);
  ArchiveNews(aArchive, aFrame.hosts_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageAsk& aFrame) -> void
{
  auto& order = aFrame.order_;
  auto request = Bounded(order.requestId_);
  auto service = Bounded(order.service_);
  auto key = Bounded(order.key_);
  auto zone = Bounded(order.zone_);
  aArchive(order.id_, request, service, order.stage_, key, zone,
           order.resultBytes_, order.rank_);
  ArchiveMany(aArchive, order.pieces_,
              [](auto& aEach, auto& aPiece) { aEach(aPiece); });
  ArchiveTexts(aArchive, order.inputs_);
  ArchiveTime(aArchive, aFrame.timeLeft_);
  ArchiveTime(aArchive, aFrame.dueIn_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageTell& aFrame) -> void
{
  aArchive(aFrame.order_);
  ArchiveMany(aArchive, aFrame.results_, [](auto& aEach, auto& aResult) {
    auto end = static_cast<std::uint8_t>(aResult.end_);
    auto handle = Bounded(aResult.handle_);
    aEach(aResult.piece_, end, handle);
    if (end > static_cast<std::uint8_t>(PieceEnd::Begun)) {
      throw std::out_of_range("piece end");
    }
    aResult.end_ = static_cast<PieceEnd>(end);
    ArchiveTime(aEach, aResult.retryAfter_);
  });
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageDrop& aFrame) -> void
{
  auto service = Bounded(aFrame.service_);
  aArchive(service, aFrame.order_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageRelease& aFrame) -> void
{
  auto service = Bounded(aFrame.service_);
  aArchive(service);
  ArchiveTexts(aArchive, aFrame.handles_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageBacklog& aFrame) -> void
{
  auto service = Bounded(aFrame.service_);
  aArchive(service);
  std::vector<std::pair<int, Duration>> waits(aFrame.waits_.begin(),
                                              aFrame.waits_.end());
  ArchiveMany(aArchive, waits, [](auto& aEach, auto& aWait) {
    aEach(aWait.first);
    ArchiveTime(aEach, aWait.second);
  });
  aFrame.waits_ = { waits.begin(), waits.end() };
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageNotice& aFrame) -> void
{
  auto service = Bounded(aFrame.service_);
  aArchive(service, aFrame.order_, aFrame.pieces_, aFrame.rank_);
  ArchiveTime(aArchive, aFrame.dueIn_);
}

template<typename Ar>
auto ArchiveHeartbeat(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  auto& probe = aHeartbeat.probe_;
  Archive(aArchive, probe.sender_);
  auto kind = static_cast<std::uint8_t>(probe.kind_);
  auto subject = Bounded(probe.subject_);
  aArchive(kind, probe.probe_, subject, probe.hosts_);
  if (kind > static_cast<std::uint8_t>(ProbeKind::AskPing)) {
    throw std::out_of_range("kind of probe");
  }
  probe.kind_ = static_cast<ProbeKind>(kind);
  ArchiveNews(aArchive, probe.news_);
  aArchive(aHeartbeat.configurationRow_, aHeartbeat.engineRows_);
  ArchiveMany(aArchive, aHeartbeat.lostRuns_, [](auto& aEach, auto& aRun) {
    aEach(aRun.request_, aRun.run_);
    ArchiveTime(aEach, aRun.beganAgo_);
    ArchiveTime(aEach, aRun.endedAgo_);
  });
  ArchiveMany(aArchive, aHeartbeat.suspects_, [](auto& aEach, auto& aNotice) {
    auto level = static_cast<std::uint8_t>(aNotice.level_);
    aEach(aNotice.request_, aNotice.generation_, level);
    ArchiveTime(aEach, aNotice.left_);
    if (level > static_cast<std::uint8_t>(SuspectLevel::HeldBack)) {
      throw std::out_of_range("level of a suspect");
    }
    aNotice.level_ = static_cast<SuspectLevel>(level);
  });
  ArchiveMany(aArchive, aHeartbeat.leavingEngines_,
              [](auto& aEach, LeavingEngine& aEngine) {
                auto id = Bounded(aEngine.id_);
                aEach(id, aEngine.startedAt_);
              });
}

template<std::size_t Index = 0>
auto DecodeKind(InputArchive& aArchive, std::uint8_t aKind) -> PeerFrame
{
  if constexpr (Index == std::variant_size_v<PeerFrame>) {
    throw std::out_of_range("frame kind");
  } else {
    if (aKind != Index) {
      return DecodeKind<Index + 1>(aArchive, aKind);
    }
    std::variant_alternative_t<Index, PeerFrame> frame;
    ArchiveFrame(aArchive, frame);
    return frame;
  }
}

} // namespace

auto EncodeHeartbeat(const FleetHeartbeat& aHeartbeat) -> std::string
{
  std::ostringstream out;
  OutputArchive archive(out);
  auto heartbeat = aHeartbeat;
  ArchiveHeartbeat(archive, heartbeat);
  return std::move(out).str();
}

auto DecodeHeartbeat(std::string_view aBytes) -> Result<FleetHeartbeat>
{
  try {
    std::istringstream in{ std::string(aBytes) };
    InputArchive archive(in);
    FleetHeartbeat heartbeat;
    ArchiveHeartbeat(archive, heartbeat);
    return heartbeat;
  } catch (const std::exception&) {
    return Malformed();
  }
}

auto EncodeFrame(const PeerFrame& aFrame) -> std::string
{
  std::ostringstream out;
  {
    OutputArchive archive(out);
    archive(static_cast<std::uint8_t>(aFrame.index()));
    std::visit(
      [&](const auto& aKind) {
        auto kind = aKind;
        ArchiveFrame(archive, kind);
      },
      aFrame);
  }
  const auto contents = std::move(out).str();
  const auto size = static_cast<std::uint32_t>(contents.size());
  std::string frame;
  for (auto shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((size >> shift) & 0xffU));
  }
  return frame + contents;
}

auto DecodeFrame(std::string_view aBytes) -> Result<PeerFrame>
{
  try {
    std::istringstream in{ std::string(aBytes) };
    InputArchive archive(in);
    std::uint8_t kind = 0;
    archive(kind);
    return DecodeKind(archive, kind);
  } catch (const std::exception&) {
    return Malformed();
  }
}

} // namespace goldcrestcroft
