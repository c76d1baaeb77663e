#pragma once

#include "../../Membership.h"
#include "ConfigurationView.h"
#include "ControlListener.h"
#include "ControlPlaneOptions.h"
#include "EngineRegistry.h"
#include "FollowedTable.h"
#include "GatewayMetrics.h"
#include "HeldRequestRows.h"
#include "PeerLink.h"
#include "PeerVersions.h"
#include "PendingCalls.h"
#include "PlatformCodec.h"
#include "RepeatedUpdates.h"
#include "UnreadableRows.h"

#include <functional>
#include <memory>
#include <set>

namespace goldcrestcroft {

/** \brief Owns the control state: configuration, engines and entry hosts.
 *
 * It follows the store, communicates with the other hosts, and publishes
 * immutable views. Hosts pass changes of the store on to each other, so that a
 * host that the store rejects receives them from its peers. One thread. */
class ControlPlane
{
public:
  using Options = ControlPlaneOptions;

  ControlPlane(asio::io_context& aContext, Options aOptions,
               const PlatformCodec& aCodec, MetadataStore& aStore,
               GatewayMetrics& aMetrics, ControlListener aListener);

  /** \brief Opens the port for peers and starts all tasks. Fails with
   * Unavailable. */
  auto Start(const BindRetry& aRetry) -> Result<void>;
  /** \brief Sets the hosts to contact first, from changed settings. */
  auto SetSeeds(const std::vector<std::string>& aSeeds) -> void
  {
    options_.settings_.seeds_ = aSeeds;
    UpdateAddresses();
  }
  /** \brief Notifies all hosts that this host is draining. */
  auto Leave() -> void;
  /** \brief An engine crashed during a run of this host: reports it to the
   * owners of the request. */
  auto ReportLost(const LostRun& aRun) -> void;
  /** \brief A run of this host broke off: delegates it to the owners of the
   * request, which count it if this host is gone when the store confirms that
   * the engine ended. */
  auto DelegateToOwners(const UnansweredRun& aRun) -> void;
  /** \brief Disseminates a suspected request's state to peers if it is new. */
  auto DisseminateSuspect(const SuspectNotice& aNotice) -> void;
  /** \brief Disseminates to the peers that an engine advertised that it is
   * draining. */
  auto DisseminateDraining(const LeavingEngine& aEngine) -> void;
  /** \brief Disseminates an engine's advertised rate limit to the peers. */
  auto DisseminateLimit(const EngineLimit& aLimit) -> void;
  /** \brief Asks the owners of the engine's rate limit for a permit to send one
   * request. The listener receives the reply within half a second. */
  auto RequestPermit(const PermitRequest& aRequest) -> void;

private:
  /** \brief Data piggybacked on datagrams besides updates about hosts. */
  struct Payload
  {
    std::vector<LostRun> lostRuns_;
    /** Sent ahead of the notices that are due in turn. */
    std::vector<SuspectNotice> suspects_;
  };
  auto DecodeEngine(const std::string& aId, const std::string& aText)
    -> Result<EngineEntry>;
  auto Follow(StoreTable aTable) -> Task<void>;
  /** \brief Number of hosts that precede this one as readers of the table. */
  auto ReadersAhead(StoreTable aTable) const -> std::size_t;
  auto IsReader(StoreTable aTable) const -> bool;
  auto ReaderDelay(StoreTable aTable) const -> Duration;
  /** \brief Version of the newest row that is known of the table. */
  [[nodiscard]] auto NewestRow(StoreTable aTable) const -> StoreVersion;
  auto FollowedOf(StoreTable aTable) -> FollowedTable&
  {
    return tables_.at(aTable);
  }
  auto NextRead(StoreTable aTable) -> TableWatch::Step;
  /** \brief Calls the store for changes and waits as aStep says, or reads all
   * rows where they are not known. */
  auto Read(StoreTable aTable, TableWatch::Step aStep) -> Task<StoreReply>;
  /** \brief Reads what is still unknown of the whole table. */
  auto ReadRest(StoreTable aTable) -> Task<StoreReply>;
  /** \brief Whether this host needs the row of a table that it reads as a
   * whole; clears the values of rows of which only the key matters. */
  auto IsOfInterest(StoreTable aTable, StoreRow& aRow) -> bool;
  static auto LogRead(StoreTable aTable, const TableScan& aScan, Duration aTime)
    -> void;
  /** \brief Returns whether the reply contained anything new. */
  auto OnStoreReply(StoreTable aTable, const StoreReply& aReply) -> bool;
  /** \brief Adopts the rows; returns whether any is new. */
  auto Adopt(StoreTable aTable, const StoreReply& aReply) -> bool;
  // Eras of the store.
  /** \brief Turns a reply of an earlier era into a failure, and one to a call
   * for changes of another era into the loss of the history. */
  auto CheckEra(StoreTable aTable, bool aReadsAll, StoreReply& aReply) -> void;
  /** \brief Call with each era that the store or a peer reports. If it is later
   * than the known ones, tables are read, and rows written, again. */
  auto OnEra(std::uint64_t aEra, const std::string& aSource) -> void;
  auto RegisterAgain() -> Task<void>;
  // Ages of views.
  /** \brief Time since the view of the table was known to be complete. */
  [[nodiscard]] auto AgeOf(StoreTable aTable) const -> Duration;
  /** \brief Handles a peer's report that aAge ago the store contained nothing
   * newer than aRow. Returns whether a stale view has become current. */
  auto OnPeerViewAge(StoreTable aTable, const StoreVersion& aRow, Duration aAge)
    -> bool;
  /** \brief Abandons calls that keep a view stale; logs and counts views that
   * become stale or current. */
  auto MaintainViews() -> void;
  /** \brief Withdraws this host from callers while its view of the
   * configuration is not confirmed. */
  auto MaintainReadiness() -> void;
  auto UpdateRole(StoreTable aTable) -> void;
  auto RegisterHost() -> Task<void>;
  auto Pause(Duration aTime) -> Task<void>;

  /** \brief aPacked is the row's value as packed by a peer, if it comes from
   * one. */
  auto AdoptConfiguration(const StoreRow& aRow,
                          const std::optional<std::string>& aPacked = {})
    -> bool;
  auto AdoptPacked(const StoreRow& aRow) -> bool;
  /** \brief Adopts the evacuations among the rows of the store; returns whether
   * any is new. */
  auto AdoptEvacuations(const StoreReply& aReply, bool aIsWholeTable) -> bool;
  auto PublishEvacuations(const std::string& aSource) -> void;
  /** \brief The address in a host's row; empty if it has none. */
  auto PeerAddressOf(const StoreRow& aRow) -> std::string;
  auto AdoptHosts(const std::vector<StoreRow>& aRows) -> void;
  auto PublishEngines() -> void;
  auto PublishFleet() -> void;
  /** \brief Whether this host has met enough of the store's listed hosts. */
  [[nodiscard]] auto IsSettled(TimePoint aNow) const -> bool;

  auto HeartbeatLoop() -> Task<void>;
  auto Send(std::vector<FailureDetector::Outgoing> aOut,
            const Payload& aPayload = {}) -> void;
  /** \brief Sends to one host, without the updates that are for all hosts. */
  auto SendDirect(const std::string& aAddress, FleetHeartbeat aHeartbeat)
    -> void;
  auto SendHeartbeat(const std::string& aAddress,
                     const FleetHeartbeat& aHeartbeat) -> void;
  /** \brief Fills in this host's view of the store's tables. */
  auto SetView(FleetHeartbeat& aHeartbeat) const -> void;
  auto PushHeartbeats() -> void;
  /** \brief Rebuilds the addresses at which hosts may be, from the store and
   * the settings. */
  auto UpdateAddresses() -> void;
  /** \brief Logs changes among the hosts; returns whether there were any. */
  auto LogFleetChanges() -> bool;
  auto ReceiveHeartbeats() -> Task<void>;
  auto OnHeartbeat(const FleetHeartbeat& aHeartbeat) -> void;
  // Suspected requests.
  auto CountLost(const LostRun& aRun) -> void;
  /** \brief Returns whether the notice is new to this host. */
  auto MergeSuspect(const SuspectNotice& aNotice) -> bool;
  /** \brief Disseminates a verdict that this host has reached, and has it
   * stored. */
  auto AnnounceVerdict(const SuspectNotice& aNotice) -> void;
  auto ReportToOwners() -> void;
  /** \brief The host of an owner id. An owner id names one incarnation of a
   * host. */
  [[nodiscard]] static auto HostOfOwner(const std::string& aOwner)
    -> std::string;
  /** \brief The owner id of a host's current incarnation. */
  [[nodiscard]] static auto OwnerIdOf(const PeerRecord& aRecord) -> std::string;
  /** \brief The owner's address; empty if it is this host or unknown. */
  [[nodiscard]] auto AddressOfOwner(const std::string& aOwner) const
    -> std::string;
  auto SendTo(const std::string& aOwner, const Payload& aPayload) -> void;
  auto SendDelegated(const UnansweredRun& aRun, const std::string& aOwner)
    -> bool;
  auto PassOnDelegatedRuns() -> void;
  auto TakeOverRuns() -> void;
  /** \brief Has the verdict stored if this host is an owner of the request. */
  auto TrackIfOwner(const SuspectNotice& aNotice) -> void;
  auto UpdateOwners() -> void;
  /** \brief Does what is due at each tick. */
  auto MaintainSuspects() -> void;
  /** \brief Reads the verdicts that survived the loss of all hosts, if this
   * host is a reader of the store; the other hosts receive them from it. */
  auto RestoreHeldRequests() -> Task<void>;
  // Rate limits of engines.
  auto MergeLimit(const EngineLimit& aLimit) -> void;
  auto MaintainLimits() -> void;
  /** \brief Issues a permit as an owner of the engine's rate limit. */
  auto Issue(const PermitQuery& aQuery) -> Permit;
  auto OnPermitQuery(const PermitQuery& aQuery, const std::string& aAddress)
    -> void;
  auto OnPermitReply(const PermitReply& aAnswer) -> void;
  /** \brief Returns the owner's reply; none if it does not reply. */
  auto AskOwner(std::string aAddress, PermitQuery aQuery)
    -> Task<std::optional<Permit>>;
  auto AcquirePermit(PermitRequest aRequest) -> Task<void>;
  auto AcceptPeers() -> Task<void>;
  // Fetches of state from peers.
  [[nodiscard]] auto Lacks(const PeerVersions& aVersions) -> bool;
  /** \brief Ends fetches that timed out, and starts those that are due. */
  auto MaintainFetches() -> void;
  auto FetchFrom(const std::string& aAddress, bool aWholeFleet) -> void;
  auto OnFetchFailed(const std::string& aAddress, const PeerLink& aLink)
    -> void;
  auto OnStateReply(const std::shared_ptr<PeerLink>& aLink,
                    const StateReply& aReply) -> void;
  auto OnFrame(const std::shared_ptr<PeerLink>& aLink, const PeerFrame& aFrame)
    -> void;
  auto MakeLink(Tcp::socket aSocket) -> std::shared_ptr<PeerLink>;

  asio::io_context& context_;
  Options options_;
  const PlatformCodec& codec_;
  MetadataStore& store_;
  GatewayMetrics& metrics_;
  ControlListener listener_;
  SuspendAwareClock clock_;
  FailureDetector peers_;
  EngineRegistry engines_;
  std::map<StoreTable, FollowedTable> tables_;
  std::shared_ptr<const EngineList> engineList_ =
    std::make_shared<const EngineList>();
  UnreadableRows unreadableEngines_{ { .event_ = "engine_entry_unreadable" } };
  UnreadableRows unreadableHosts_{ { .event_ = "host_row_unreadable" } };
  /** The last logged state of each engine. */
  std::map<std::string, std::string> engineStates_;
  ConfigurationView configuration_;
  EvacuationView evacuations_;
  /** The evacuated zones as published last. */
  std::set<std::string> evacuatedZones_;
  /** The latest era of the store that is known. */
  std::optional<std::uint64_t> storeEra_;
  /** Peers' addresses by host, from the store. */
  std::map<std::string, std::string> hostRows_;
  std::vector<std::string> addresses_;
  Udp::socket heartbeatSocket_;
  std::optional<Tcp::acceptor> acceptor_;
  FetchPlan<PeerVersions> fetchPlan_;
  /** Fetches under way, by the peer's address. */
  std::map<std::string, PendingFetch> fetches_;
  SuspectCounter counter_;
  SuspectTable suspects_;
  LostRunReports reports_;
  DelegatedRuns delegatedRuns_;
  bool ownersChanged_ = false;
  HeldRequestRows heldRows_;
  RepeatedUpdates<LeavingEngine> leavingEngines_;
  LimitTable limits_;
  PermitIssuer issuer_;
  /** Owners that did not answer, with the time until which they are not
   * asked. */
  std::map<std::string, TimePoint> unresponsiveOwners_;
  /** By the number of the query. */
  std::map<std::uint64_t, std::shared_ptr<PendingPermitQuery>> pendingPermits_;
  std::uint64_t lastPermitNumber_ = 0;
  ViewConfirmation confirmation_;
  FleetView published_;
  TimePoint lastTick_;
  bool isolated_ = false;
  TimePoint startedAt_;
  bool hostsRead_ = false;
  bool settled_ = false;
  bool leaving_ = false;
  bool current_ = true;
};

} // namespace goldcrestcroft
