#pragma once

#include "FleetView.h"
#include "PeerLink.h"
#include "StageBatcher.h"

namespace goldcrestcroft {

/** \brief Dispatches stage orders to the batch coordinator of their service,
 * and serves orders of other hosts where this host is the coordinator.
 *
 * A coordinator keeps its role while it is only suspected to have failed. A
 * connection that breaks is opened again. A coordinator that cannot be reached
 * is skipped for a short time, and its orders go to the next host in the order
 * that all hosts share. Only a host that cannot reach several others runs the
 * calls itself. Traffic thread only. */
class StageBroker
{
public:
  using ResultCallback = StageBatcher::ResultCallback;

  StageBroker(asio::io_context& aContext, std::string aListen,
              StageBatcher& aBatcher);

  /** \brief Listens for orders of other hosts. Fails with Unavailable. */
  auto Start(const BindRetry& aRetry) -> Result<void>;
  auto SetFleet(std::shared_ptr<const FleetView> aFleet) -> void;

  /** \brief Announces expected pieces to the coordinator. Returns an id of the
   * plan for Place and Cancel. */
  auto Plan(const std::string& aService, StagePlan aPlan) -> std::uint64_t;
  /** \brief Places an order, which replaces the plan aPlan unless that is 0.
   * Returns an id of the order for Cancel. */
  auto Place(StageOrder aOrder, ResultCallback aOnResults,
             std::uint64_t aPlan = 0) -> std::uint64_t;
  auto Cancel(std::uint64_t aOrder) -> void;
  auto Release(const std::string& aService, std::vector<std::string> aHandles)
    -> void;
  /** \brief How long a new order would wait, as the coordinator last reported;
   * zero if it has not reported recently. */
  [[nodiscard]] auto ForecastWait(const std::string& aService, int aRank) const
    -> Duration;

private:
  struct Outstanding
  {
    StageOrder order_;
    ResultCallback onResults_;
    /** Null while the order is at the local batcher, as batcherOrder_. */
    std::shared_ptr<PeerLink> link_;
    std::uint64_t batcherOrder_ = 0;
    /** How often it was sent again. */
    std::size_t resends_ = 0;
    /** Orders for those of its pieces that moved to another coordinator. */
    std::vector<std::uint64_t> movedOrders_;
  };
  /** Orders that another host placed here, by that host's order ids. */
  struct Served
  {
    std::shared_ptr<PeerLink> link_;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> orders_;
  };

  /** \brief The service's batch coordinator in this host's view. */
  auto CoordinatorOf(const std::string& aService) -> const std::string&;
  /** \brief Excludes a host that could not be reached from the choice of
   * coordinators for a limited time. */
  auto SkipUnreachable(const std::string& aHost) -> void;
  /** \brief Ends the exclusion of hosts whose time has passed. */
  auto ExpireUnreachable() -> void;
  /** \brief Compares the coordinators with those before: hands over waiting
   * orders where the role has passed to another host, and expects contention
   * where this host has taken it over. */
  auto OnCoordinatorsChanged(const std::map<std::string, std::string>& aBefore)
    -> void;
  /** \brief Orders pieces from the current coordinator that waited at a
   * previous one. */
  auto PlaceMovedPieces(std::uint64_t aNumber,
                        const std::vector<std::uint32_t>& aPieces) -> void;
  auto Resend(const std::vector<std::uint64_t>& aNumbers) -> void;
  /** \brief The connection to the coordinator; null if that is this host. */
  auto LinkToCoordinator(const std::string& aService)
    -> std::shared_ptr<PeerLink>;
  auto LinkTo(const std::string& aHost) -> std::shared_ptr<PeerLink>;
  auto Send(std::uint64_t aNumber) -> void;
  auto PlaceLocally(std::uint64_t aNumber) -> void;
  auto OnResults(std::uint64_t aNumber, std::vector<PieceResult> aResults)
    -> void;
  auto OnLinkEnd(const std::shared_ptr<PeerLink>& aLink) -> void;
  auto OnServedFrame(const std::shared_ptr<PeerLink>& aLink, PeerFrame aFrame)
    -> void;
  auto ServeOrder(const std::shared_ptr<PeerLink>& aLink,
                  StageOrderRequest aRequest) -> void;
  auto Accept() -> Task<void>;
  auto PublishBacklogs() -> Task<void>;

  asio::io_context& context_;
  std::string listen_;
  StageBatcher& batcher_;
  SuspendAwareClock clock_;
  std::optional<Tcp::acceptor> acceptor_;
  std::shared_ptr<const FleetView> fleet_ =
    std::make_shared<const FleetView>(FleetView{ .settled_ = false });
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
  /** Coordinators by service; chosen again when hosts change. */
  std::map<std::string, std::string> coordinators_;
  /** Hosts that could not be reached, and until when they are skipped. */
  std::map<std::string, TimePoint> unreachable_;
  /** Orders that are held until the fleet is known. */
  std::vector<std::uint64_t> unsent_;
  std::map<std::uint64_t, Outstanding> outstanding_;
  std::map<PeerLink*, Served> served_;
  std::uint64_t nextNumber_ = 1;
  struct ReceivedBacklog
  {
    StageBacklog backlog_;
    TimePoint receivedAt_;
  };
  std::map<std::string, ReceivedBacklog> backlogs_;
};

} // namespace goldcrestcroft
