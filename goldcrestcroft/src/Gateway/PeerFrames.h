#pragma once

#include "../../Engines.h"
#include "../../Membership.h"
#include "../../Staging.h"
#include "ConfigurationView.h"
#include "LostRunReport.h"
#include "MetadataStore.h"
#include "PermitMessages.h"
#include "StageCallPiece.h"

#include <variant>

namespace goldcrestcroft {

/** \brief An incarnation of an engine that advertised that it is draining. */
struct LeavingEngine
{
  std::string id_;
  /** Unix milliseconds, 0 if the engine does not report it. */
  std::uint64_t startedAt_ = 0;

  auto operator<=>(const LeavingEngine&) const = default;
};

/** \brief Age of a view that was never complete. */
inline constexpr auto kNeverComplete = Duration::max();

/** \brief The regular datagram between hosts. */
struct FleetHeartbeat
{
  ProbeMessage probe_;
  /** Store versions of the sender's state in force. */
  StoreVersion configurationRow_;
  StoreVersion engineRows_;
  /** The operator's version of the configuration in force. */
  VersionNumber configurationVersion_ = ConfigurationView::kUnreported;
  /** Time since the store was known to contain nothing newer. */
  Duration configurationAge_ = kNeverComplete;
  Duration engineAge_ = kNeverComplete;
  /** For the receiver, as an owner of their requests. */
  std::vector<LostRunReport> lostRuns_;
  std::vector<SuspectNotice> suspects_;
  std::vector<LeavingEngine> leavingEngines_;
  std::vector<EngineLimitReport> limits_;
  /** For the receiver, as an owner of the engines' rate limits. */
  std::vector<PermitQuery> permitQueries_;
  std::vector<PermitReply> permits_;
  /** For the receiver, as an owner of their requests. */
  std::vector<UnansweredReport> unanswered_;
  /** Version of the latest change of evacuations. */
  StoreVersion evacuationVersion_;

  auto operator<=>(const FleetHeartbeat&) const = default;
};

/** \brief Asks a peer for its state beyond these versions. */
struct StateRequest
{
  StoreVersion configurationRow_;
  StoreVersion engineRows_;
  VersionNumber configurationVersion_ = ConfigurationView::kUnreported;
  /** Whether to send the full host list; the sender knows far fewer hosts than
   * the peer. */
  bool wholeFleet_ = false;

  auto operator<=>(const StateRequest&) const = default;
};

/** \brief Rows beyond the requested versions. */
struct StateReply
{
  /** Its value is packed. */
  std::vector<StoreRow> configuration_;
  std::vector<StoreRow> engines_;
  /** Versions of the sender's state in force. */
  StoreVersion configurationRow_;
  StoreVersion engineRows_;
  /** Whether the rows of the engines are the complete table, since the
   * requested version is of an earlier era. */
  bool wholeEngines_ = false;
  /** Time since the sender's rows were known to be complete. */
  Duration configurationAge_ = kNeverComplete;
  Duration engineAge_ = kNeverComplete;
  std::vector<PeerUpdate> hosts_;
  /** Rate limits of engines; for a host that has just started. */
  std::vector<EngineLimitReport> limits_;
  /** All evacuations, as of this version. */
  std::vector<Evacuation> evacuations_;
  StoreVersion evacuationVersion_;

  auto operator<=>(const StateReply&) const = default;
};

/** \brief Requests pieces from the batch coordinator of a service. Times are
 * relative, since hosts share no clock. */
struct StageOrderRequest
{
  StageOrder order_;
  Duration timeLeft_{};
  Duration dueIn_{};

  auto operator<=>(const StageOrderRequest&) const = default;
};

/** \brief Announces pieces to come to the batch coordinator of a service; the
 * StageOrderCancel of the same number ends it. */
struct StagePlanNotice
{
  std::string service_;
  std::uint64_t order_ = 0;
  std::uint32_t pieces_ = 0;
  int rank_ = 0;
  Duration dueIn_{};

  auto operator<=>(const StagePlanNotice&) const = default;
};

/** \brief Reports outcomes of pieces of an order. */
struct StageOrderResults
{
  std::uint64_t order_ = 0;
  std::vector<PieceResult> results_;

  auto operator<=>(const StageOrderResults&) const = default;
};

/** \brief The request no longer needs these pieces. */
struct StageOrderCancel
{
  std::string service_;
  std::uint64_t order_ = 0;

  auto operator<=>(const StageOrderCancel&) const = default;
};

/** \brief These results are no longer needed. */
struct StageRelease
{
  std::string service_;
  std::vector<std::string> handles_;

  auto operator<=>(const StageRelease&) const = default;
};

/** \brief All frames sent over connections between hosts. */
using PeerFrame =
  std::variant<StateRequest, StateReply, StageOrderRequest, StageOrderResults,
               StageOrderCancel, StageRelease, StageBacklog, StagePlanNotice>;

/** \brief Maximum size of a frame, sent or accepted, in bytes; a configuration
 * of thousands of routes fits. */
inline constexpr std::size_t kMaxFrameBytes = 8U << 20U;

auto EncodeHeartbeat(const FleetHeartbeat& aHeartbeat) -> std::string;
/** \brief Fails with Protocol on bytes that are not a heartbeat. */
auto DecodeHeartbeat(std::string_view aBytes) -> Result<FleetHeartbeat>;

/** \brief Returns the frame, preceded by its length. */
auto EncodeFrame(const PeerFrame& aFrame) -> std::string;
/** \brief Decodes a frame without its length; fails with Protocol. */
auto DecodeFrame(std::string_view aBytes) -> Result<PeerFrame>;

} // namespace goldcrestcroft
