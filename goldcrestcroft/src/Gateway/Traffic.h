#pragma once

#include "CallerConnection.h"
#include "GatewayMetrics.h"
#include "NodeSettings.h"
#include "OutageMonitor.h"
#include "PeerFrames.h"
#include "PlatformCodec.h"
#include "StageBroker.h"
#include "StreamVersions.h"

#include <set>

namespace goldcrestcroft {

/** \brief Limits and timeouts of requests. */
struct TrafficOptions
{
  NodeSettings settings_;
  /** Retry-After of a refusal for which no longer wait is forecast. */
  Duration retryAfter_ = std::chrono::milliseconds{ 400 };
  /** Retry-After of a refusal after which another host can serve at once. */
  Duration minRetryAfter_ = std::chrono::milliseconds{ 50 };
  /** Maximum size of a response that is not streamed; it is buffered until it
   * is complete. In bytes. */
  std::size_t maxAnswerBytes_ = 16U << 20U;
  /** Share of the remaining time after which an idempotent request without a
   * response may go to another engine. */
  double firstAttemptShare_ = 0.45;
  /** A resumable stream without an event for this many times the gap objective
   * of its route, and at least for minStall_, may go to another engine. */
  double stallGaps_ = 6.0;
  Duration minStall_ = std::chrono::milliseconds{ 1500 };
  /** A resumable stream without a response head for this many times the
   * objective of its route, and at least for minHeadTimeout_, may go to another
   * engine. */
  double headObjectives_ = 2.0;
  Duration minHeadTimeout_ = std::chrono::milliseconds{ 2000 };
};

/** \brief State that all requests of this host share.
 *
 * All members are used on the traffic thread only. */
class Traffic
{
public:
  /** \brief Callbacks that reach the other hosts; called on the traffic thread.
   */
  struct PeerCallbacks
  {
    /** An engine crashed during a run of this host. */
    std::function<void(const LostRun&)> lost_;
    /** The connection to an engine broke during a run of this host. */
    std::function<void(const UnansweredRun&)> unanswered_;
    std::function<void(const SuspectNotice&)> suspect_;
    std::function<void(const LeavingEngine&)> leaving_;
    std::function<void(const EngineLimit&)> limit_;
    /** Requests a permit; the reply arrives at OnPermit. */
    std::function<void(const PermitRequest&)> permit_;
  };

  Traffic(asio::io_context& aContext, TrafficOptions aOptions,
          const PlatformCodec& aCodec, MetadataStore& aStore,
          GatewayMetrics& aMetrics, PeerCallbacks aPeerCallbacks);

  /** \brief Opens the ports. Fails with Unavailable. */
  auto Start(const BindRetry& aRetry) -> Result<void>;
  auto SetRouting(std::shared_ptr<const RoutingTable> aRouting) -> void;
  auto SetEngines(std::shared_ptr<const EngineList> aEngines) -> void;
  auto SetFleet(std::shared_ptr<const FleetView> aFleet) -> void;
  auto OnSuspect(const SuspectNotice& aNotice) -> void;
  /** \brief An engine advertised to another host that it is draining. */
  auto OnLeaving(const LeavingEngine& aEngine) -> void;
  /** \brief An engine advertised its rate limit to another host. */
  auto OnLimit(const EngineLimit& aWord) -> void { pool_.OnLimit(aWord); }
  auto OnPermit(const PermitReply& aAnswer) -> void;
  auto OnStoreRestored(std::uint64_t aEra) -> void
  {
    versions_.OnStoreRestored(aEra);
  }
  /** \brief Applies changed settings, such as the retry budget. */
  auto SetSettings(const NodeSettings& aSettings) -> void;
  /** \brief Begins the planned stop: from now on, responses announce the close
   * of their connection, and requests that would not end in time are refused.
   */
  auto Stop(const StopTimes& aTimes) -> void;
  /** \brief The host exits soon: ends the requests whose response has not begun
   * by a local reply. */
  auto EndRequests() -> void;
  /** \brief The host exits now: ends all requests; streams that have begun are
   * cut. */
  auto EndStreams() -> void;
  /** \brief Accepts the connections that are already queued, then closes the
   * listening socket. */
  auto StopAccepting() -> void;
  /** \brief Closes the connections that have no request under way or about to
   * arrive. */
  auto CloseIdle() -> void;
  /** \brief Whether any connection of a caller is open, also one whose request
   * is still arriving. */
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
  /** \brief Present and past limits of callers' connections. */
  [[nodiscard]] auto Limits() const -> const LimitHistory& { return limits_; }
  [[nodiscard]] auto IsConfigured() const -> bool
  {
    return routing_->Version() > 0;
  }
  /** \brief Whether a list of engines was received, even an empty one. */
  [[nodiscard]] auto HasEngineList() const -> bool { return hasEngineList_; }
  [[nodiscard]] auto Fleet() const -> const FleetView& { return *fleet_; }
  [[nodiscard]] auto IsStopping() const -> bool { return stopping_; }
  [[nodiscard]] auto Running() const -> std::size_t { return runs_.size(); }
  /** \brief Whether a request of the route that arrives now, with aLeft until
   * its deadline, is expected to end before this host stops. */
  [[nodiscard]] auto Admits(const std::string& aRoute, Duration aLeft) const
    -> bool;
  /** \brief Adds the duration of a successful request of the route. */
  auto AddResponseTime(const std::string& aRoute, Duration aTook) -> void
  {
    answerTimes_[aRoute].AddSample(aTook);
  }
  [[nodiscard]] auto Options() const -> const TrafficOptions&
  {
    return options_;
  }
  [[nodiscard]] auto Codec() const -> const PlatformCodec& { return codec_; }
  [[nodiscard]] auto Context() -> asio::io_context& { return context_; }
  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }
  auto Pool() -> EnginePool& { return pool_; }
  /** \brief Bytes held for callers and engines. */
  auto Memory() -> MemoryAccount& { return pool_.Memory(); }
  auto Throttle() -> LogThrottle& { return logThrottle_; }
  auto Broker() -> StageBroker& { return broker_; }
  auto Versions() -> StreamVersions& { return versions_; }
  auto Metrics() -> GatewayMetrics& { return metrics_; }

  auto OnRequestBegin(RequestRun* aRun) -> void { runs_.insert(aRun); }
  auto OnRequestEnd(RequestRun* aRun) -> void { runs_.erase(aRun); }
  auto OnCallerEnd(const std::shared_ptr<CallerConnection>& aCaller) -> void;
  /** \brief Counts and logs a request that was rejected while it was read. */
  auto RecordRejected(const LocalReply& aAnswer, const std::string& aClient)
    -> void;
  auto MakeAnswer(const LocalReply& aAnswer,
                  const std::string& aRequestId) const
    -> http::response<http::string_body>;

  /** \brief Time to the first event at the model engines, for requests of the
   * route. */
  auto FirstEventOf(const std::string& aRoute) -> FirstEventTime&
  {
    return firstEvents_[aRoute];
  }
  /** \brief Counts a request for the service towards its retry budget. */
  auto CountRequest(const std::string& aService) -> void;
  /** \brief Takes a retry from the retry budget of the service, which all hosts
   * share; false if it is used up. */
  auto TryTakeRetry(const std::string& aService) -> bool;
  [[nodiscard]] auto IsQuarantined(std::uint64_t aFingerprint) const -> bool;
  /** \brief Records a run without a complete response, once for each of its
   * suspects. It counts against them if the engine turns out to have crashed.
   */
  auto ReportUnansweredRun(const std::vector<LostRun>& aRuns, bool aBroke,
                           std::shared_ptr<EngineState> aEngine) -> void;
  /** \brief A request found no engine of the service. */
  auto OnNoEngine(const std::string& aService) -> void
  {
    outages_.OnSilent(aService);
  }
  /** \brief The engine responded on the connection. */
  auto OnEngineResponse(const EngineLease& aLease) -> void;
  /** \brief An engine ran the request to completion, or a request with the
   * part of a prompt long enough to prove that it crashes no engines. */
  auto OnRequestCompleted(std::uint64_t aFingerprint) -> void;

private:
  struct PendingPermit
  {
    asio::steady_timer answered_;
    Permit permit_;
  };

  auto Accept() -> Task<void>;
  /** \brief Serves a new connection of a caller. */
  auto StartCaller(Tcp::socket aSocket) -> void;
  /** \brief Requests the permit to send one request to an engine with a rate
   * limit. */
  auto RequestPermit(RateLimits aLimits, Duration aMaxWait) -> Task<Permit>;
  /** \brief Measures the lag of the event loop of this thread. */
  auto MeasureLoopLag() -> Task<void>;
  /** \brief Checks whether an engine whose connection broke still accepts
   * connections; reports its lost runs if not. */
  auto CheckReachability(std::shared_ptr<EngineState> aEngine) -> Task<void>;
  /** \brief Merges the notice and sends it to the other hosts. */
  auto PublishNotice(const std::optional<SuspectNotice>& aNotice) -> void;
  auto ReportLostRuns(const std::vector<LostRun>& aRuns,
                      const std::string& aWhy) -> void;
  /** \brief Closes the connection that has been idle longest; false if none is
   * idle. */
  auto CloseLongestIdle() -> bool;
  /** \brief Closes a connection whose request is incomplete; false if there is
   * none. */
  auto CloseIncompleteRequest() -> bool;
  auto RetryWindowOf(const std::string& aService) -> RetryWindow&;
  /** \brief Registers the versions of the engines that resumable streams may
   * begin at. */
  auto UpdateVersions() -> void;
  /** \brief Whether this host does what one host does for all. */
  [[nodiscard]] auto IsFirstHost() const -> bool;

  asio::io_context& context_;
  TrafficOptions options_;
  const PlatformCodec& codec_;
  GatewayMetrics& metrics_;
  PeerCallbacks peerCallbacks_;
  SuspendAwareClock clock_;
  std::shared_ptr<const RoutingTable> routing_ =
    std::make_shared<const RoutingTable>();
  LimitHistory limits_;
  std::shared_ptr<const FleetView> fleet_ = std::make_shared<const FleetView>();
  EnginePool pool_;
  OutageMonitor outages_;
  /** By number of the permit request. */
  std::map<std::uint64_t, std::shared_ptr<PendingPermit>> pendingPermits_;
  std::uint64_t lastPermit_ = 0;
  StageBatcher batcher_;
  StageBroker broker_;
  StreamVersions versions_;
  SuspectTable suspects_;
  CrashDetector crashDetector_;
  /** Engines whose reachability is being checked. */
  std::set<std::shared_ptr<EngineState>> enginesBeingChecked_;
  std::map<std::string, RetryWindow> retryWindows_;
  std::map<std::string, FirstEventTime> firstEvents_;
  std::optional<Tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<CallerConnection>> callers_;
  std::map<std::string, LatencyEstimate> answerTimes_;
  std::set<RequestRun*> runs_;
  LogThrottle logThrottle_;
  bool hasEngineList_ = false;
  bool stopping_ = false;
  std::optional<StopAdmission> stopAdmission_;
};

} // namespace goldcrestcroft
