#pragma once

#include "FleetView.h"
#include "PeerLink.h"
#include "StageDesk.h"

namespace goldcrestcroft {

/** \brief Sends orders for pieces to the host that collects for their service,
 * and serves those of other hosts where this one collects.
 *
 * A collector keeps its office while it is only suspected. A connection that
 * breaks is made again; a collector that cannot be reached is passed over for a
 * moment, and its orders go to the next in the order that all hosts know. Only
 * a host that reaches none of several makes the calls itself. Traffic thread
 * only. */
class StageBroker
{
public:
  using Tell = StageDesk::Tell;

  StageBroker(asio::io_context& aContext, std::string aListen,
              StageDesk& aDesk);

  /** \brief Opens the port for other hosts' orders. Fails with Unavailable. */
  auto Start() -> Result<void>;
  auto SetFleet(std::shared_ptr<const FleetView> aFleet) -> void;

  /** \brief Tells the collector of pieces to come. Returns a number that names
   * them for Place and Cancel. */
  auto Plan(const std::string& aService, StagePlan aPlan) -> std::uint64_t;
  /** \brief Places an order, in place of the plan aPlan if it is not 0. Returns
   * a number that names the order for Cancel. */
  auto Place(StageOrder aOrder, Tell aTell, std::uint64_t aPlan = 0)
    -> std::uint64_t;
  auto Cancel(std::uint64_t aOrder) -> void;
  auto Release(const std::string& aService, std::vector<std::string> aHandles)
    -> void;
  /** \brief How long a fresh order would wait there, by the collector's last
   * word; none where it has said nothing lately. */
  [[nodiscard]] auto WaitAt(const std::string& aService, int aRank) const
    -> Duration;

private:
  struct Outstanding
  {
    StageOrder order_;
    Tell tell_;
    /** Null while the order lies at the own desk, as deskOrder_. */
    std::shared_ptr<PeerLink> link_;
    std::uint64_t deskOrder_ = 0;
    /** How often it had to be sent anew. */
    std::size_t moves_ = 0;
    /** Orders for those of its pieces that moved to another collector. */
    std::vector<std::uint64_t> movedOn_;
  };
  /** Orders that another host placed here. */
  struct Served
  {
    std::shared_ptr<PeerLink> link_;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> orders_;
  };

  /** \brief The host that collects for the service, as seen from here. */
  auto CollectorOf(const std::string& aService) -> const std::string&;
  auto PassOver(const std::string& aHost) -> void;
  auto ForgetPassedOver() -> void;
  /** \brief Gives up offices that have passed to another host, and notes those
   * that have come here. */
  auto ReviewOffices(const std::map<std::string, std::string>& aBefore) -> void;
  /** \brief Asks the collector of now for pieces that waited at another. */
  auto MoveOn(std::uint64_t aNumber, const std::vector<std::uint32_t>& aPieces)
    -> void;
  auto SendAgain(const std::vector<std::uint64_t>& aNumbers) -> void;
  /** \brief The connection to the collector; null where this host collects. */
  auto LinkToCollector(const std::string& aService)
    -> std::shared_ptr<PeerLink>;
  auto LinkTo(const std::string& aHost) -> std::shared_ptr<PeerLink>;
  auto Send(std::uint64_t aNumber) -> void;
  auto PlaceHere(std::uint64_t aNumber) -> void;
  auto OnTell(std::uint64_t aNumber, std::vector<PieceResult> aResults) -> void;
  auto OnLinkEnd(const std::shared_ptr<PeerLink>& aLink) -> void;
  auto OnServedFrame(const std::shared_ptr<PeerLink>& aLink, PeerFrame aFrame)
    -> void;
  auto ServeAsk(const std::shared_ptr<PeerLink>& aLink, StageAsk aAsk) -> void;
  auto Accept() -> Task<void>;
  auto SpreadBacklogs() -> Task<void>;

  asio::io_context& context_;
  std::string listen_;
  StageDesk& desk_;
  SuspendAwareClock clock_;
  std::optional<Tcp::acceptor> acceptor_;
  std::shared_ptr<const FleetView> fleet_ =
    std::make_shared<const FleetView>(FleetView{ .settled_ = false });
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
  /** Collectors by service; found anew when hosts change. */
  std::map<std::string, std::string> collectors_;
  /** Hosts that could not be reached, and until when they are passed over. */
  std::map<std::string, TimePoint> passedOver_;
  /** Orders that wait until the fleet is known. */
  std::vector<std::uint64_t> unsent_;
  std::map<std::uint64_t, Outstanding> outstanding_;
  std::map<PeerLink*, Served> served_;
  std::uint64_t nextNumber_ = 1;
  struct HeardBacklog
  {
    StageBacklog backlog_;
    TimePoint heardAt_;
  };
  std::map<std::string, HeardBacklog> backlogs_;
};

} // namespace goldcrestcroft
