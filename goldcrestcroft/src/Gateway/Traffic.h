#pragma once

#include "CallerConnection.h"
#include "GatewayMetrics.h"
#include "NodeSettings.h"
#include "PeerFrames.h"
#include "PlatformCodec.h"
#include "StageBroker.h"

#include <set>

namespace goldcrestcroft {

/** \brief Bounds and times of requests. */
struct TrafficOptions
{
  NodeSettings settings_;
  /** When to come back where no forecast says more. */
  Duration retryAfter_ = std::chrono::milliseconds{ 400 };
  /** When to come back where another host serves at once. */
  Duration leastRetryAfter_ = std::chrono::milliseconds{ 50 };
  /** Whole answers up to this are held until they are complete, in bytes. */
  std::size_t maxAnswerBytes_ = 16U << 20U;
  /** Part of the time left that the first engine of a repeatable request may
   * use without an answer. */
  double firstAttemptShare_ = 0.45;
  /** A resumable stream goes on elsewhere after this many of its longest
   * pauses without an event, and at least after leastStall_. */
  double stallPauses_ = 6.0;
  Duration leastStall_ = std::chrono::milliseconds{ 1500 };
  /** A resumable stream without its first event goes elsewhere after this
   * many objectives, and at least after leastFirst_. */
  double firstObjectives_ = 2.0;
  Duration leastFirst_ = std::chrono::milliseconds{ 2000 };
};

/** \brief All that the traffic thread shares between requests. */
class Traffic
{
public:
  /** \brief Tells other hosts; called on the traffic thread. */
  struct Spread
  {
    /** An engine ended under a run of this host. */
    std::function<void(const LostRun&)> lost_;
    /** The connection to an engine broke under a run of this host. */
    std::function<void(const UnansweredRun&)> unanswered_;
    std::function<void(const SuspectNotice&)> suspect_;
    std::function<void(const LeavingEngine&)> leaving_;
    std::function<void(const EngineLimit&)> limit_;
    /** Seeks a permit; OnPermit is called with the answer. */
    std::function<void(const PermitWish&)> permit_;
  };

  Traffic(asio::io_context& aContext, TrafficOptions aOptions,
          const PlatformCodec& aCodec, GatewayMetrics& aMetrics,
          Spread aSpread);

  /** \brief Opens the ports. Fails with Unavailable. */
  auto Start() -> Result<void>;
  auto SetRouting(std::shared_ptr<const RoutingTable> aRouting) -> void;
  auto SetEngines(std::shared_ptr<const EngineList> aEngines) -> void;
  auto SetFleet(std::shared_ptr<const FleetView> aFleet) -> void;
  auto OnSuspect(const SuspectNotice& aNotice) -> void;
  /** \brief Another host was told by an engine that it leaves. */
  auto OnLeaving(const LeavingEngine& aEngine) -> void;
  /** \brief Another host was told by an engine of its limit. */
  auto OnLimit(const EngineLimit& aWord) -> void { pool_.OnLimit(aWord); }
  auto OnPermit(const PermitAnswer& aAnswer) -> void;
  /** \brief Takes the budget for repeats from changed settings. */
  auto SetSettings(const NodeSettings& aSettings) -> void;
  /** \brief Announces the end of each connection from now on. */
  auto Stop(const StopTimes& aTimes) -> void;
  /** \brief The host ends soon: what has no answer yet gets one. */
  auto EndRequests() -> void;
  /** \brief The host ends now: answers that have begun are broken off. */
  auto EndStreams() -> void;
  /** \brief Takes the connections that wait, and no more. */
  auto StopAccepting() -> void;
  /** \brief Closes connections without a request that are not fresh. */
  auto CloseIdle() -> void;
  /** \brief Whether connections are left, also with half a request. */
  [[nodiscard]] auto HasCallers() const -> bool { return !callers_.empty(); }

  [[nodiscard]] auto Routing() const -> const RoutingTable&
  {
    return *routing_;
  }
  [[nodiscard]] auto RoutingPointer() const
    -> std::shared_ptr<const RoutingTable>
  {
    return routing_;
  }
  /** \brief Limits of callers' connections, those of before included. */
  [[nodiscard]] auto Limits() const -> const LimitHistory& { return limits_; }
  [[nodiscard]] auto IsConfigured() const -> bool
  {
    return routing_->Version() > 0;
  }
  /** \brief Whether a list of engines has come, also an empty one. */
  [[nodiscard]] auto KnowsEngines() const -> bool { return knowsEngines_; }
  [[nodiscard]] auto Fleet() const -> const FleetView& { return *fleet_; }
  [[nodiscard]] auto IsStopping() const -> bool { return stopping_; }
  [[nodiscard]] auto Running() const -> std::size_t { return runs_.size(); }
  /** \brief Whether a request of the route that comes now, with so much time
   * left, ends before this host does. */
  [[nodiscard]] auto Takes(const std::string& aRoute, Duration aLeft) const
    -> bool;
  /** \brief A request of the route was answered. */
  auto NoteAnswerTime(const std::string& aRoute, Duration aTook) -> void
  {
    answerTimes_[aRoute].OnTime(aTook);
  }
  [[nodiscard]] auto Options() const -> const TrafficOptions&
  {
    return options_;
  }
  [[nodiscard]] auto Codec() const -> const PlatformCodec& { return codec_; }
  [[nodiscard]] auto Context() -> asio::io_context& { return context_; }
  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }
  auto Pool() -> EnginePool& { return pool_; }
  auto Broker() -> StageBroker& { return broker_; }
  auto Metrics() -> GatewayMetrics& { return metrics_; }

  auto OnRequestBegin(RequestRun* aRun) -> void { runs_.insert(aRun); }
  auto OnRequestEnd(RequestRun* aRun) -> void { runs_.erase(aRun); }
  auto OnCallerEnd(const std::shared_ptr<CallerConnection>& aCaller) -> void;
  /** \brief Counts and logs a request that was answered while it was read. */
  auto NoteRejected(const OwnAnswer& aAnswer) -> void;
  auto MakeAnswer(const OwnAnswer& aAnswer, const std::string& aRequestId) const
    -> http::response<http::string_body>;

  /** \brief What requests of the route take at model engines. */
  auto FirstEventOf(const std::string& aRoute) -> FirstEventTime&
  {
    return firstEvents_[aRoute];
  }
  /** \brief A request for the service has come. */
  auto CountRequest(const std::string& aService) -> void;
  /** \brief Takes a repeat out of the budget that all hosts share. */
  auto TryRepeat(const std::string& aService) -> bool;
  [[nodiscard]] auto IsHeldBack(std::uint64_t aFingerprint) const -> bool;
  /** \brief A run at the engine has no whole answer. It counts against its
   * request if the engine turns out to have ended. */
  auto NoteUnanswered(const LostRun& aRun, bool aBroke,
                      std::shared_ptr<EngineState> aEngine) -> void;
  /** \brief The engine answered on the connection. */
  auto NoteHeard(const EngineLease& aLease) -> void;
  /** \brief An engine ran the request to its end. */
  auto NoteCompleted(std::uint64_t aFingerprint) -> void;

private:
  struct SoughtPermit
  {
    asio::steady_timer answered_;
    Permit permit_;
  };

  auto Accept() -> Task<void>;
  auto Take(Tcp::socket aSocket) -> void;
  /** \brief The right to send one request to an engine that names a limit. */
  auto SeekPermit(EngineLimit aLimit, Duration aPatience) -> Task<Permit>;
  /** \brief Measures how late the loop of this thread is. */
  auto WatchLoop() -> Task<void>;
  /** \brief Tells whether the engine that broke off still takes
   * connections. */
  auto CheckEngine(std::shared_ptr<EngineState> aEngine) -> Task<void>;
  /** \brief Notes the notice and tells the other hosts. */
  auto Tell(const std::optional<SuspectNotice>& aNotice) -> void;
  auto CountLost(const std::vector<LostRun>& aRuns, const std::string& aWhy)
    -> void;
  /** \brief Closes an idle connection to make room for a new one. */
  auto DropIdle() -> bool;
  auto WindowOf(const std::string& aService) -> RepeatWindow&;

  asio::io_context& context_;
  TrafficOptions options_;
  const PlatformCodec& codec_;
  GatewayMetrics& metrics_;
  Spread spread_;
  SuspendAwareClock clock_;
  std::shared_ptr<const RoutingTable> routing_ =
    std::make_shared<const RoutingTable>();
  LimitHistory limits_;
  std::shared_ptr<const FleetView> fleet_ = std::make_shared<const FleetView>();
  EnginePool pool_;
  /** By number. */
  std::map<std::uint64_t, std::shared_ptr<SoughtPermit>> soughtPermits_;
  std::uint64_t lastPermit_ = 0;
  StageDesk desk_;
  StageBroker broker_;
  SuspectBoard suspects_;
  EndWatch endWatch_;
  /** Engines that are being checked. */
  std::set<std::shared_ptr<EngineState>> checked_;
  std::map<std::string, RepeatWindow> windows_;
  std::map<std::string, FirstEventTime> firstEvents_;
  std::optional<Tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<CallerConnection>> callers_;
  std::map<std::string, UsualTime> answerTimes_;
  std::set<RequestRun*> runs_;
  bool knowsEngines_ = false;
  bool stopping_ = false;
  std::optional<StopAdmission> stopAdmission_;
};

} // namespace goldcrestcroft
