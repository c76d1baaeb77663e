#pragma once

#include "CallerConnection.h"
#include "EventRelay.h"
#include "ResponseEnd.h"
#include "ResponseLimits.h"
#include "Traffic.h"

namespace goldcrestcroft {

/** \brief Serves one request of a caller, from the moment that it is read
 * completely to the end of its response.
 *
 * Determines route, workspace and service, orders the results of the stages,
 * and sends the request to one engine after another until one responds or no
 * further attempt is allowed. An attempt whose engine stalls may be parked: its
 * connection stays open while another engine is tried, and the attempt is
 * resumed if that one does not take the request. Runs on the traffic thread. */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(Traffic& aTraffic, std::shared_ptr<CallerConnection> aCaller,
             CallerRequest aRequest);
  ~RequestRun();

  /** \brief Serves the request; returns whether the connection may carry
   * another one. */
  auto Serve() -> Task<bool>;
  auto OnCallerGone() -> void;
  /** \brief Aborts the request since this host shuts down. */
  auto OnHostShutdown() -> void;
  /** \brief Whether a part of a streamed response was sent to the caller. */
  [[nodiscard]] auto HasBegunResponse() const -> bool { return streamBegun_; }
  /** \brief The request or the part of a prompt with this fingerprint is
   * quarantined: no engine gets it from now on. */
  auto OnQuarantined(std::uint64_t aFingerprint) -> void;
  /** \brief The request id as the caller sent it. */
  [[nodiscard]] auto Id() const -> std::string;
  /** \brief Records that Serve ended in an exception. */
  auto OnFailed(const std::string& aProblem) -> void;

private:
  enum class Aborted
  {
    No,
    CallerGone,
    DeadlineExpired,
    HostShutdown
  };
  enum class StagesOutcome
  {
    Completed,
    Refused,
    Aborted
  };

  /** \brief Value of a header field of the request; empty if it is absent. */
  [[nodiscard]] auto Field(const std::string& aName) const -> std::string;
  /** \brief Values of all header fields of that name, which together are one
   * comma-separated list. */
  [[nodiscard]] auto JoinedField(const std::string& aName) const -> std::string;
  /** \brief Finds route, workspace and service and checks the request; returns
   * the reply if it is refused. */
  auto Admit() -> std::optional<LocalReply>;
  /** \brief Sets the deadline by the route and by the time that the caller
   * allows, and arms its timer. */
  auto SetDeadline() -> void;
  /** \brief Closes the connections to engines, also that to the caller if it
   * left or has a part of a stream, and wakes Serve, which then ends the
   * request. Only the first call has an effect. */
  auto Abort(Aborted aWhy) -> void;
  /** \brief Counts and logs the outcome of the request; aDetail explains it. */
  auto RecordOutcome(const std::string& aOutcome,
                     const std::string& aDetail = "") -> void;
  auto SendLocalReply(LocalReply aAnswer) -> Task<bool>;

  auto Execute() -> Task<bool>;
  /** \brief Waits for the results of the stages and makes one attempt. Returns
   * nullopt if no engine was chosen; stopReason_ then holds the reason. */
  auto TryEngine() -> Task<std::optional<AttemptOutcome>>;
  /** \brief Ends the request after its last attempt failed; returns whether
   * the connection may carry another one. */
  auto RespondWithFailure(AttemptOutcome aEnd) -> Task<bool>;
  /** \brief Outcome of a stream that ends before it is complete. */
  [[nodiscard]] auto BrokenOutcome() const -> std::string;
  /** \brief Time until an engine accepts requests again; zero if one does now,
   * or if all are draining. Up to doubled by the request id, so that callers do
   * not retry together. */
  [[nodiscard]] auto TimeUntilEngineAvailable() const -> Duration;
  [[nodiscard]] auto FailureReply(AttemptOutcome aEnd) const -> LocalReply;

  // Stages.
  /** \brief The reply that refuses the request if the stages are forecast to
   * wait for too long. */
  auto RefuseByForecast(const std::vector<std::uint32_t>& aPieces) const
    -> std::optional<LocalReply>;
  /** \brief The reply that refuses the request if a service that it needs has
   * engines in evacuated zones only. */
  auto RefuseIfEvacuated(const std::vector<std::uint32_t>& aPieces) const
    -> std::optional<LocalReply>;
  /** \brief Places the orders of the stages as their inputs arrive, and waits
   * for the results. */
  auto RunStages() -> Task<StagesOutcome>;
  /** \brief When the results still missing can no longer be produced before the
   * caller times out. */
  [[nodiscard]] auto StagesDeadline() const -> TimePoint;
  auto PlaceStage(std::size_t aStage) -> void;
  /** \brief Announces the stages that cannot start yet to their batch
   * coordinators. */
  auto PlanStages() -> void;
  [[nodiscard]] auto DueOf(std::size_t aStage) const -> TimePoint;
  [[nodiscard]] auto PromptWorkOf() const -> PromptWork;
  /** \brief Asks the host that assigns engines for the engine of the first
   * attempt, and waits briefly for the reply. */
  auto AwaitAssignment() -> Task<void>;
  auto EndAssignment() -> void;
  auto OnPieceResults(std::uint64_t aOrder,
                      const std::vector<PieceResult>& aResults) -> void;
  auto CancelOrders() -> void;
  auto ReleaseResults(
    const std::vector<std::pair<std::size_t, std::string>>& aResults) -> void;
  auto WaitUntil(TimePoint aLatest) -> Task<void>;

  // Software versions of streams.
  /** \brief Reads whether the request asks for the rest of a stream, and of
   * which. */
  auto ReadResumption() -> void;
  /** \brief Whether the response may begin a stream that can be resumed. */
  [[nodiscard]] auto MayBeginStream() const -> bool;
  [[nodiscard]] auto IdOfStream() const -> StreamId;
  /** \brief Finds the version that began the stream whose rest the request asks
   * for; returns the reply if the request is refused. */
  auto FindVersion() -> Task<std::optional<LocalReply>>;
  /** \brief Whether the engine has another version than the only one at which
   * the stream may go on or begin. */
  [[nodiscard]] auto IsOtherVersion(const EngineState& aEngine) const -> bool;
  /** \brief Whether a stream may go on at the engine, or begin there so that
   * all hosts can tell its version. */
  auto FitsVersion(const EngineState& aEngine) -> bool;
  /** \brief The same, or with aIsAnyVersion whether a stream may begin there
   * once the store has recorded its version. */
  auto MayServe(const EngineState& aEngine, bool aIsAnyVersion) -> bool;
  /** \brief Time until the caller gives a stream up that has not begun. */
  [[nodiscard]] auto TimeUntilFirstEventDue() const -> Duration;
  /** \brief Whether engines have the service, but none may begin the stream, as
   * the store does not record their versions. */
  [[nodiscard]] auto IsUnrecordable() const -> bool;
  /** \brief Has the version of the engine stored while it works. */
  auto PrepareStream(const EngineEntry& aEngine) -> void;
  /** \brief Holds the first event until all hosts can tell which version begins
   * the stream. Returns the outcome of the attempt if they cannot: it then has
   * been given up for another engine or for good. */
  auto AwaitStreamKnown(const EngineEntry& aEngine)
    -> Task<std::optional<AttemptOutcome>>;
  /** \brief Whether the stream, whose version is not recorded, begins sooner at
   * another engine; if so, reserves the retry. */
  auto TryLeaveUnrecorded() -> bool;
  /** \brief Counts the outcome of a request for the rest of a stream. */
  auto CountTakeUp(const std::string& aOutcome) -> void;

  // Attempts.
  /** \brief Engines that may take the request. Sets how long it may wait for a
   * permit of an engine with a rate limit. */
  auto Candidates(std::vector<EngineEntry>& aEntries)
    -> std::vector<EngineCandidate>;
  /** \brief The healthy engines, or with aLastResort the suspended ones that
   * may still serve, that accept requests within aMaxWait; with aIsAnyVersion
   * also those whose version the store has yet to record. */
  auto FilterEngines(std::vector<EngineEntry>& aEntries, bool aLastResort,
                     Duration aMaxWait, bool aIsAnyVersion)
    -> std::vector<EngineCandidate>;
  /** \brief How long the request may wait if all engines have rate limits. */
  [[nodiscard]] auto MaxPermitWait() const -> Duration;
  auto ChooseEngine() -> std::shared_ptr<EngineState>;
  /** \brief Chooses the home engine of the prompt, and its zone for the stages
   * that move much data. */
  auto PlanHome() -> void;
  /** \brief For each zone, its smallest share of the engines of a stage. */
  [[nodiscard]] auto StageShares() const -> std::map<std::string, double>;
  /** \brief Bytes that cross zones if the stage runs in another zone than the
   * engine. */
  [[nodiscard]] auto CrossZoneBytes(std::size_t aStage) const -> double;
  /** \brief Opens a connection to the engine and makes one attempt on it. */
  auto Attempt(std::shared_ptr<EngineState> aEngine) -> Task<AttemptOutcome>;
  /** \brief Sends the request and receives its response. */
  auto SendRequest(const EngineLease& aLease) -> Task<AttemptOutcome>;
  /** \brief Receives the response to a request that was sent and forwards it to
   * the caller; parks the attempt if the engine stalls. */
  auto ReceiveResponse(std::shared_ptr<EngineExchange> aExchange,
                       TimePoint aBegan) -> Task<AttemptOutcome>;
  /** \brief Reads the head of the response; decides whether a parked attempt is
   * abandoned for this one. */
  auto AwaitHead(EngineExchange& aExchange) -> Task<ReadOutcome>;
  /** \brief Stores the load that the engine reports in its response. */
  auto RecordLoad(const EngineExchange& aExchange) -> void;
  /** \brief Releases the connection, and records the outcome of the exchange in
   * the health of the engine. */
  auto FinishExchange(const EngineExchange& aExchange, AttemptOutcome aResult,
                      TimePoint aBegan) -> void;
  auto LogAttempt(const EngineLease& aLease, AttemptOutcome aEnd) -> void;
  auto BuildForwardedRequest(const EngineEntry& aEngine) const -> std::string;
  auto HeadTimeout() const -> Duration;
  /** \brief Closes the engine's connection once it is silent for aTime and
   * another engine may take the request, at the deadline otherwise. */
  auto CloseIfSilent(const EngineLease& aLease, Duration aTime) -> void;
  /** \brief Like CloseIfSilent, but pauses the reading: the exchange can be
   * resumed. */
  auto PauseIfSilent(const EngineLease& aLease, Duration aTime) -> void;
  /** \brief Whether another engine may take the request now; if so, reserves
   * the retry in the retry budget. */
  auto TryReserveRetry() -> bool;
  /** \brief Forwards the response to the caller if it may be the final one. */
  auto ForwardResponse(EngineExchange& aExchange) -> Task<AttemptOutcome>;
  /** \brief Forwards a stream event by event. */
  auto RelayStream(EngineExchange& aExchange) -> Task<AttemptOutcome>;
  /** \brief Checks that the engine has not exited, if its response ends with
   * its connection: an exit ends it in the same way. Returns the outcome of the
   * attempt if the response is not complete. */
  auto ConfirmEnd(EngineExchange& aExchange)
    -> Task<std::optional<AttemptOutcome>>;
  /** \brief Sends a complete response to the caller. */
  auto Deliver(const EngineResponseHead& aHead, std::string aBody)
    -> Task<AttemptOutcome>;
  /** \brief Counts and logs a response that was cut at a bound. */
  auto ReportExceededBound(const EngineLease& aLease, ResponseLimit aBound)
    -> void;
  /** \brief Logs and reports a run that has no complete response. */
  auto ReportLostRun(const EngineExchange& aExchange, TimePoint aBegan) -> void;
  /** \brief Whether the request is quarantined, so that no further attempt is
   * allowed. Remembers it for the reply. */
  auto CheckQuarantined() -> bool;
  [[nodiscard]] auto IsQuarantined() const -> bool;
  /** \brief Fingerprint of a quarantined part of the prompt; 0 if there is
   * none.
   */
  [[nodiscard]] auto QuarantinedPart() const -> std::uint64_t;
  /** \brief What the loss of a run is evidence against: the request, and the
   * parts of its prompt unless the run has proven them sound. */
  [[nodiscard]] auto SuspectsOf(const EngineExchange& aExchange,
                                const LostRun& aRun) const
    -> std::vector<LostRun>;
  /** \brief The request ran without crashing its engine when this began to
   * respond. */
  auto ReportSoundParts() -> void;
  [[nodiscard]] auto TimeLeft() const -> Duration;
  [[nodiscard]] auto HasAttemptsLeft() const -> bool;

  // An attempt whose engine stalled, kept until another engine has taken the
  // request.
  struct ParkedAttempt
  {
    std::shared_ptr<EngineExchange> exchange_;
    TimePoint began_;
    /** The engine sent bytes after its last event that complete no event, so
     * more bytes do not show that it has recovered. */
    bool sendsNoEvents_ = false;
  };
  auto Park(std::shared_ptr<EngineExchange> aExchange, TimePoint aBegan)
    -> AttemptOutcome;
  /** \brief Whether the connection of the parked attempt is closed, or has data
   * that may show that the engine has recovered. */
  [[nodiscard]] auto ParkedIsReadable() -> bool;
  /** \brief Resumes the parked attempt after the attempt at another engine
   * failed, unless that one can be repeated with inputs produced again. */
  auto FallBackToParked(std::optional<AttemptOutcome> aTried)
    -> Task<std::optional<AttemptOutcome>>;
  auto ResumeParked() -> Task<AttemptOutcome>;
  /** \brief Ends the parked attempt with this outcome. */
  auto AbandonParked(AttemptOutcome aEnd) -> void;

  Traffic& traffic_;
  std::shared_ptr<CallerConnection> caller_;
  CallerRequest request_;
  TimePoint arrivedAt_;
  std::shared_ptr<const RoutingTable> routing_;
  const Route* route_ = nullptr;
  std::string requestId_;
  std::string service_;
  std::string workspace_;
  int rank_ = 0;
  std::uint64_t fingerprint_ = 0;
  TimePoint deadline_;
  Deadline deadlineTimer_;
  asio::steady_timer wake_;
  Aborted aborted_ = Aborted::No;
  std::shared_ptr<EngineConnection> current_;

  std::optional<StageGraph> graph_;
  std::optional<StageDue> stageDue_;
  /** Stage of each order, by the number of the order. */
  std::map<std::uint64_t, std::size_t> orders_;
  /** Number of the plan announced for each stage. */
  std::map<std::size_t, std::uint64_t> plans_;
  std::optional<LocalReply> stageProblem_;
  bool quarantined_ = false;
  /** How long to wait for a permit of an engine with a rate limit. */
  Duration maxWait_{};
  /** The next retry is already counted in the retry budget. */
  bool retryReserved_ = false;
  std::vector<PromptPart> prompt_;
  /** Fingerprints of the parts that the prompt may share with others. */
  std::vector<std::uint64_t> parts_;
  /** Zone where the pieces run: that of the engine meant to get the request. */
  std::string zone_;
  std::string home_;
  /** The assigned engine; empty if there is none. */
  std::string assigned_;
  /** Number of the order that asked for it; 0 if there is none. */
  std::uint64_t assignment_ = 0;

  std::optional<ParkedAttempt> parked_;
  AttemptRecord attempts_;
  /** Why no further engine was tried; a log value. */
  std::string stopReason_;
  std::set<std::string> tried_;
  /** The last error response of an engine. */
  std::optional<EngineResponseHead> failureHead_;
  std::string failureBody_;
  EventRelay relay_;
  bool streamBegun_ = false;
  /** Whether the request asks for the rest of a stream. */
  bool resumesStream_ = false;
  /** The attempt that brought the first event of that stream; empty if the
   * request names none. */
  std::string resumedAttempt_;
  /** The software version that began the stream, and where that is known
   * from; empty before that. */
  StreamOrigin origin_;
  /** The only version at which the stream may begin, as of the last choice of
   * an engine. */
  std::optional<std::string> onlyVersion_;
  /** The last attempt ended since the version of the stream is not recorded. */
  bool unrecorded_ = false;
  /** It was sent to an engine that may have run it without a response. */
  bool outcomeUnknown_ = false;
  std::string lastEngine_;
  /** How the response of the last finished attempt ended. */
  ResponseEnd lastEnd_;
  /** When the last bytes of any engine arrived. */
  TimePoint lastReceivedAt_;
  /** When the last event of the current stream arrived; TimePoint::max() before
   * the stream. */
  TimePoint lastEventAt_ = TimePoint::max();
  /** Number of runs without a complete response so far. */
  std::uint64_t lostRuns_ = 0;
  TimePoint stagesDoneAt_;
  TimePoint firstEventAt_;
  bool finished_ = false;
};

} // namespace goldcrestcroft
