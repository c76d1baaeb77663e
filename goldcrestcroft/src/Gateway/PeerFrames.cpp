#include "PeerArchive.h"

#include <sstream>

namespace goldcrestcroft {

using namespace internal;

namespace {

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StateRequest& aFrame) -> void
{
  aArchive(aFrame.configurationRow_.number_, aFrame.engineRows_.number_,
           aFrame.wholeFleet_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StateReply& aFrame) -> void
{
  ArchiveRows(aArchive, aFrame.configuration_);
  ArchiveRows(aArchive, aFrame.engines_);
  ArchiveTime(aArchive, aFrame.configurationAge_);
  ArchiveTime(aArchive, aFrame.engineAge_);
  ArchiveUpdates(aArchive, aFrame.hosts_);
  ArchiveLimits(aArchive, aFrame.limits_);
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageOrderRequest& aFrame) -> void
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
auto ArchiveFrame(Ar& aArchive, StageOrderResults& aFrame) -> void
{
  aArchive(aFrame.order_);
  ArchiveMany(aArchive, aFrame.results_, [](auto& aEach, auto& aResult) {
    auto end = static_cast<std::uint8_t>(aResult.end_);
    auto handle = Bounded(aResult.handle_);
    aEach(aResult.piece_, end, handle);
    if (end > static_cast<std::uint8_t>(PieceOutcome::Begun)) {
      throw std::out_of_range("piece end");
    }
    aResult.end_ = static_cast<PieceOutcome>(end);
    ArchiveTime(aEach, aResult.retryAfter_);
  });
}

template<typename Ar>
auto ArchiveFrame(Ar& aArchive, StageOrderCancel& aFrame) -> void
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
auto ArchiveFrame(Ar& aArchive, StagePlanNotice& aFrame) -> void
{
  auto service = Bounded(aFrame.service_);
  aArchive(service, aFrame.order_, aFrame.pieces_, aFrame.rank_);
  ArchiveTime(aArchive, aFrame.dueIn_);
}

/** Fields that follow those of the previous release, whose hosts ignore them
 * and do not send them. */
template<typename Ar>
auto ArchiveEras(Ar& aArchive, StateRequest& aFrame) -> void
{
  aArchive(aFrame.configurationRow_.era_, aFrame.engineRows_.era_,
           aFrame.configurationVersion_);
}

template<typename Ar>
auto ArchiveEras(Ar& aArchive, StateReply& aFrame) -> void
{
  for (auto* rows : { &aFrame.configuration_, &aFrame.engines_ }) {
    for (auto& row : *rows) {
      aArchive(row.version_.era_);
    }
  }
  for (auto* version : { &aFrame.configurationRow_, &aFrame.engineRows_ }) {
    ArchiveVersion(aArchive, *version);
  }
  aArchive(aFrame.wholeEngines_);
}

template<typename Ar, typename Frame>
auto ArchiveEras(Ar&, Frame&) -> void
{
}

template<typename Ar>
auto ArchivePrompt(Ar& aArchive, std::optional<PromptWork>& aPrompt) -> void
{
  auto isSet = aPrompt.has_value();
  aArchive(isSet);
  if (!isSet) {
    aPrompt.reset();
    return;
  }
  auto prompt = aPrompt.value_or(PromptWork{});
  auto service = Bounded(prompt.service_);
  auto home = Bounded(prompt.home_);
  auto zone = Bounded(prompt.zone_);
  aArchive(service, home, zone, prompt.ownTokens_, prompt.outputTokens_);
  ArchiveMany(aArchive, prompt.sharedParts_, [](auto& aEach, auto& aPart) {
    aEach(aPart.fingerprint_, aPart.tokens_);
  });
  aPrompt = std::move(prompt);
}

/** Fields that follow those. */
template<typename Ar, typename Frame>
auto ArchiveAppended(Ar& aArchive, Frame& aFrame) -> void
{
  if constexpr (std::is_same_v<Frame, StageOrderRequest>) {
    ArchivePrompt(aArchive, aFrame.order_.prompt_);
  }
  if constexpr (std::is_same_v<Frame, StageOrderResults>) {
    for (auto& result : aFrame.results_) {
      auto engine = Bounded(result.assignedEngine_);
      aArchive(engine);
    }
  }
  if constexpr (std::is_same_v<Frame, StateReply>) {
    ArchiveVersion(aArchive, aFrame.evacuationVersion_);
    ArchiveMany(aArchive, aFrame.evacuations_,
                [](auto& aEach, Evacuation& aEvacuation) {
                  auto zone = Bounded(aEvacuation.zone_);
                  aEach(zone);
                  ArchiveVersion(aEach, aEvacuation.version_);
                });
  }
}

template<std::size_t Index = 0>
auto DecodeKind(std::istringstream& aIn, InputArchive& aArchive,
                std::uint8_t aKind) -> PeerFrame
{
  if constexpr (Index == std::variant_size_v<PeerFrame>) {
    throw std::out_of_range("frame kind");
  } else {
    if (aKind != Index) {
      return DecodeKind<Index + 1>(aIn, aArchive, aKind);
    }
    std::variant_alternative_t<Index, PeerFrame> frame;
    ArchiveFrame(aArchive, frame);
    if (HasMore(aIn)) {
      ArchiveEras(aArchive, frame);
    }
    if (HasMore(aIn)) {
      ArchiveAppended(aArchive, frame);
    }
    return frame;
  }
}

} // namespace

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
        ArchiveEras(archive, kind);
        ArchiveAppended(archive, kind);
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
    return DecodeKind(in, archive, kind);
  } catch (const std::exception&) {
    return MalformedFrame();
  }
}

} // namespace goldcrestcroft
