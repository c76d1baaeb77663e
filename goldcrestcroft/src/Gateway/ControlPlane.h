#pragma once

#include "../../Membership.h"
#include "EngineRegistry.h"
#include "FleetView.h"
#include "GatewayMetrics.h"
#include "HeldRequestRows.h"
#include "NodeSettings.h"
#include "PeerLink.h"
#include "PlatformCodec.h"
#include "RepeatedNews.h"

#include <functional>
#include <memory>
#include <set>

namespace goldcrestcroft {

/** \brief What the control thread tells the traffic thread; called on the
 * control thread. */
struct ControlListener
{
  std::function<void(std::shared_ptr<const RoutingTable>)> onRouting_;
  std::function<void(std::shared_ptr<const EngineList>)> onEngines_;
  std::function<void(std::shared_ptr<const FleetView>)> onFleet_;
  std::function<void(const SuspectNotice&)> onSuspect_;
  std::function<void(const LeavingEngine&)> onLeaving_;
  std::function<void(const EngineLimit&)> onLimit_;
  std::function<void(const PermitAnswer&)> onPermit_;
};

/** \brief Owns the control state: configuration, engines and entry hosts.
 *
 * It follows the store, talks to the other hosts, and publishes immutable
 * views. News of the store is passed on between hosts, so that one that the
 * store turns away has it from its neighbours. One thread. */
class ControlPlane
{
public:
  struct Options
  {
    NodeSettings settings_;
    Incarnation incarnation_ = 1;
    /** How often the failure detector and held entries are looked at; half of
     * its period. */
    Duration tick_ = std::chrono::milliseconds{ 100 };
    /** How long one call for other hosts waits at the store. */
    Duration hostsWait_ = std::chrono::seconds{ 4 };
    /** Pauses between tries of other calls while the store gives no answer. */
    Duration leastPause_ = std::chrono::milliseconds{ 100 };
    Duration mostPause_ = std::chrono::milliseconds{ 1000 };
    /** Up to this many hosts everyone reads the store; beyond, some read, and
     * hosts whose views are stale. */
    std::size_t smallFleet_ = 12;
    std::size_t readers_ = 4;
    /** Each reader but the first pauses this much longer than the one ahead of
     * it before it asks the store for changes again: the first one tells the
     * others, and changes that come together cost them one call. */
    Duration readerPause_ = std::chrono::milliseconds{ 200 };
    Duration longestReaderPause_ = std::chrono::milliseconds{ 800 };
    /** Before a host's first call for changes, in which it learns who else
     * reads; and before each for other hosts, whose beats come sooner. */
    Duration calmPause_ = std::chrono::milliseconds{ 500 };
    /** A host that has not met half of the hosts that the store names goes by
     * those that it has met after this: the others are dead. */
    Duration settleWithin_ = std::chrono::milliseconds{ 2000 };
    /** A pause of the process beyond this makes what it knows doubtful. */
    Duration doubtfulPause_ = std::chrono::milliseconds{ 1500 };
  };

  ControlPlane(asio::io_context& aContext, Options aOptions,
               const PlatformCodec& aCodec, MetadataStore& aStore,
               GatewayMetrics& aMetrics, ControlListener aListener);

  /** \brief Opens the peers' port and begins. Fails with Unavailable. */
  auto Start() -> Result<void>;
  /** \brief Other hosts to ask first, from changed settings. */
  auto SetSeeds(const std::vector<std::string>& aSeeds) -> void
  {
    options_.settings_.seeds_ = aSeeds;
    UpdateAddresses();
  }
  /** \brief Tells everybody that this host leaves. */
  auto Leave() -> void;
  /** \brief An engine ended under a run of this host: tells the keepers. */
  auto ReportLost(const LostRun& aRun) -> void;
  /** \brief A run of this host broke off: its keepers count it if this host is
   * gone when the store says that the engine ended. */
  auto EntrustToKeepers(const UnansweredRun& aRun) -> void;
  /** \brief Tells the peers what is known of a suspected request, if it is
   * new. */
  auto SpreadSuspect(const SuspectNotice& aNotice) -> void;
  /** \brief Tells the peers of an engine that said that it leaves. */
  auto SpreadLeaving(const LeavingEngine& aEngine) -> void;
  /** \brief Tells the peers what an engine said of its limit. */
  auto SpreadLimit(const EngineLimit& aWord) -> void;
  /** \brief Asks the keepers of the engine's rate for the right to send one
   * request; the listener is told, within half a second. */
  auto SeekPermit(const PermitWish& aWish) -> void;

private:
  /** \brief What goes with datagrams besides news of hosts. */
  struct Cargo
  {
    std::vector<LostRun> lostRuns_;
    /** These go before those whose turn it is. */
    std::vector<SuspectNotice> suspects_;
  };
  struct AskedPermit
  {
    asio::steady_timer answered_;
    std::optional<Permit> permit_;
  };
  /** \brief A table of the store as this host follows it. */
  struct Followed
  {
    explicit Followed(TableWatch aWatch)
      : watch_(std::move(aWatch))
    {
    }

    TableWatch watch_;
    std::uint64_t version_ = 0;
    /** Whether it was read whole. */
    bool known_ = false;
    bool answering_ = true;
    /** When the call for changes under way was sent. */
    std::optional<TimePoint> sentAt_;
    std::optional<TableWatch::Role> role_;
    /** As of when the view was whole that has become stale. */
    std::optional<TimePoint> staleSince_;
  };

  auto DecodeEngine(const std::string& aId, const std::string& aText) const
    -> Result<EngineEntry>;
  auto Follow(StoreTable aTable) -> Task<void>;
  /** \brief Hosts that come before this one as readers of the table. */
  auto ReadersAhead(StoreTable aTable) const -> std::size_t;
  auto IsReader(StoreTable aTable) const -> bool;
  auto PauseOfReader(StoreTable aTable) const -> Duration;
  /** \brief The newest row that is known of the table. */
  [[nodiscard]] auto RowOf(StoreTable aTable) const -> std::uint64_t;
  auto FollowedOf(StoreTable aTable) -> Followed& { return tables_.at(aTable); }
  auto NextReading(StoreTable aTable) -> TableWatch::Step;
  /** \brief A call that waits for changes as aStep says, or one for all rows
   * where they are not known. */
  auto Read(StoreTable aTable, TableWatch::Step aStep) -> Task<StoreReply>;
  /** \brief Whether it brought anything new. */
  auto OnStoreReply(StoreTable aTable, const StoreReply& aReply) -> bool;
  /** \brief Takes the rows over; whether any is new. */
  auto Adopt(StoreTable aTable, const StoreReply& aReply) -> bool;
  // Ages of views.
  /** \brief How long ago the table was known whole. */
  [[nodiscard]] auto AgeOf(StoreTable aTable) const -> Duration;
  /** \brief A peer has known for so long that there is nothing beyond aRow;
   * whether a stale view has become new. */
  auto HearAge(StoreTable aTable, std::uint64_t aRow, Duration aAge) -> bool;
  /** \brief Gives up calls that keep a view stale; notes what is stale. */
  auto TendViews() -> void;
  auto NoteRole(StoreTable aTable) -> void;
  auto Announce() -> Task<void>;
  auto Pause(Duration aTime) -> Task<void>;

  /** \brief aPacked is its value as a peer packed it, if it comes from one. */
  auto AdoptConfiguration(const StoreRow& aRow,
                          const std::optional<std::string>& aPacked = {})
    -> bool;
  auto AdoptPacked(const StoreRow& aRow) -> bool;
  auto AdoptHosts(const std::vector<StoreRow>& aRows) -> void;
  auto PublishEngines() -> void;
  auto PublishFleet() -> void;
  /** \brief Whether enough hosts of those that the store names are met. */
  [[nodiscard]] auto IsSettled(TimePoint aNow) const -> bool;

  auto Beat() -> Task<void>;
  auto Send(std::vector<FailureDetector::Outgoing> aOut,
            const Cargo& aCargo = {}) -> void;
  /** \brief For one host alone, without the news that is for all. */
  auto SendAlone(const std::string& aAddress, FleetHeartbeat aBeat) -> void;
  auto SendBeat(const std::string& aAddress, const FleetHeartbeat& aBeat)
    -> void;
  /** \brief What this host knows of the store's tables. */
  auto SetView(FleetHeartbeat& aBeat) const -> void;
  auto BeatToSome() -> void;
  /** \brief Addresses at which hosts may be, by the store and the settings. */
  auto UpdateAddresses() -> void;
  /** \brief Logs what has changed among the hosts; whether anything has. */
  auto LogFleetChanges() -> bool;
  auto ReceiveBeats() -> Task<void>;
  auto OnBeat(const FleetHeartbeat& aBeat) -> void;
  // Suspected requests.
  auto CountLost(const LostRun& aRun) -> void;
  /** \brief Whether the notice is new here. */
  auto LearnSuspect(const SuspectNotice& aNotice) -> bool;
  /** \brief This host has found out: tells the others, and keeps it. */
  auto AnnounceVerdict(const SuspectNotice& aNotice) -> void;
  auto ReportToKeepers() -> void;
  /** \brief The host of a keeper, which is named for each of its starts. */
  [[nodiscard]] static auto HostOfKeeper(const std::string& aKeeper)
    -> std::string;
  /** \brief The keeper that a host is while it runs. */
  [[nodiscard]] static auto KeeperOf(const PeerRecord& aRecord) -> std::string;
  /** \brief Its address; empty if it is this host or unknown. */
  [[nodiscard]] auto AddressOfKeeper(const std::string& aKeeper) const
    -> std::string;
  auto SendTo(const std::string& aKeeper, const Cargo& aCargo) -> void;
  auto TakeOverRuns() -> void;
  /** \brief Keeps the verdict in the store if this host is a keeper of the
   * request. */
  auto KeepRow(const SuspectNotice& aNotice) -> void;
  auto SetKeepers() -> void;
  /** \brief What is due at each tick. */
  auto TendSuspects() -> void;
  /** \brief Learns the verdicts that outlived the hosts, where this host is a
   * reader of the store; the others are told. */
  auto RestoreHeldRequests() -> Task<void>;
  // Limits of engines.
  auto LearnLimit(const EngineLimit& aWord) -> void;
  auto TendLimits() -> void;
  /** \brief A permit of this host, as a keeper of the engine's rate. */
  auto Issue(const PermitAsk& aAsk) -> Permit;
  auto OnPermitAsk(const PermitAsk& aAsk, const std::string& aAddress) -> void;
  auto OnPermitAnswer(const PermitAnswer& aAnswer) -> void;
  /** \brief What the keeper answers; none if it does not. */
  auto AskKeeper(std::string aAddress, PermitAsk aAsk)
    -> Task<std::optional<Permit>>;
  auto FindPermit(PermitWish aWish) -> Task<void>;
  auto AcceptPeers() -> Task<void>;
  auto FetchFrom(const std::string& aAddress, bool aWholeFleet) -> void;
  /** \brief The fetch under way has not brought an answer. */
  auto GiveUpFetch(TimePoint aNow) -> void;
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
  std::map<StoreTable, Followed> tables_;
  std::shared_ptr<const EngineList> engineList_ =
    std::make_shared<const EngineList>();
  /** What was last said of each engine, for the log. */
  std::map<std::string, std::string> engineStates_;
  /** What is in force, its value packed for the peers. */
  StoreRow configuration_;
  VersionNumber configurationVersion_ = 0;
  /** Peers' addresses by host, from the store. */
  std::map<std::string, std::string> hostRows_;
  std::vector<std::string> addresses_;
  Udp::socket beats_;
  std::optional<Tcp::acceptor> acceptor_;
  std::shared_ptr<PeerLink> fetch_;
  std::string fetchedFrom_;
  TimePoint fetchStartedAt_;
  SuspectCounter counter_;
  SuspectBoard suspects_;
  LostRunReports reports_;
  EntrustedRuns entrusted_;
  HeldRequestRows heldRows_;
  RepeatedNews<LeavingEngine> leavingEngines_;
  LimitBoard limits_;
  PermitIssuer issuer_;
  /** Keepers that did not answer, until when they are not asked. */
  std::map<std::string, TimePoint> silentKeepers_;
  /** By number. */
  std::map<std::uint64_t, std::shared_ptr<AskedPermit>> asked_;
  std::uint64_t lastAsk_ = 0;
  FleetView published_;
  TimePoint lastBeat_;
  bool alone_ = false;
  TimePoint startedAt_;
  bool hostsRead_ = false;
  bool settled_ = false;
  bool leaving_ = false;
};

} // namespace goldcrestcroft
