#pragma once

#include "AnswerBounds.h"
#include "CallerConnection.h"
#include "EventRelay.h"
#include "Traffic.h"

namespace goldcrestcroft {

/** \brief One request of a caller, from its last byte to the end of its answer.
 *
 * Finds route, workspace and service, has the stages made, and sends it to
 * engines until one answers or nothing more may be tried. */
class RequestRun : public std::enable_shared_from_this<RequestRun>
{
public:
  RequestRun(Traffic& aTraffic, std::shared_ptr<CallerConnection> aCaller,
             CallerRequest aRequest);
  ~RequestRun();

  /** \brief Whether the connection may carry another request. */
  auto Serve() -> Task<bool>;
  auto OnCallerGone() -> void;
  auto OnHostEnds() -> void;
  /** \brief Whether the caller has a part of its answer. */
  [[nodiscard]] auto HasBegunAnswer() const -> bool { return streamBegun_; }
  /** \brief Copies of the request with this fingerprint are sent to no engine
   * from now on. */
  auto OnHeldBack(std::uint64_t aFingerprint) -> void;
  /** \brief The caller's id of the request, as it was sent. */
  [[nodiscard]] auto Id() const -> std::string;
  /** \brief Its serving ended in an exception. */
  auto OnFailed(const std::string& aProblem) -> void;

private:
  enum class Aborted
  {
    No,
    CallerGone,
    TimeOver,
    /** This host ends. */
    HostEnds
  };
  enum class StageEnd
  {
    Made,
    Refused,
    Aborted
  };

  /** \brief A field of the request's head; empty without it. */
  [[nodiscard]] auto Field(const std::string& aName) const -> std::string;
  auto Admit() -> std::optional<OwnAnswer>;
  auto ReadTimes() -> void;
  auto Abort(Aborted aWhy) -> void;
  /** \brief Counts and logs the end; aDetail tells what decided it. */
  auto Finish(const std::string& aOutcome, const std::string& aDetail = "")
    -> void;
  auto Answer(OwnAnswer aAnswer) -> Task<bool>;

  auto Execute() -> Task<bool>;
  /** \brief Makes the stages and sends it to one engine; none if that came to
   * nothing before an engine was chosen, and noMore_ says why. */
  auto TryEngine() -> Task<std::optional<AttemptEnd>>;
  auto Conclude(AttemptEnd aEnd) -> Task<bool>;
  /** \brief Outcome of a stream that has begun and is not finished. */
  [[nodiscard]] auto BrokenOutcome() const -> std::string;
  /** \brief When an engine wants requests again, if none does now; later for
   * some requests, by their id. */
  [[nodiscard]] auto ComeBackAfter() const -> Duration;
  [[nodiscard]] auto ConcludingAnswer(AttemptEnd aEnd) const -> OwnAnswer;

  // Stages.
  auto RefuseByForecast(const std::vector<std::uint32_t>& aPieces) const
    -> std::optional<OwnAnswer>;
  auto MakeStages() -> Task<StageEnd>;
  /** \brief Time at which the stages must go on, since the caller would be
   * gone before the first event otherwise. */
  [[nodiscard]] auto LatestForStages() const -> TimePoint;
  auto PlaceStage(std::size_t aStage) -> void;
  /** \brief Tells the collectors of the stages that cannot start yet. */
  auto PlanStages() -> void;
  [[nodiscard]] auto DueOf(std::size_t aStage) const -> TimePoint;
  auto OnPieces(std::uint64_t aOrder, const std::vector<PieceResult>& aResults)
    -> void;
  auto CancelOrders() -> void;
  auto ReleaseResults(
    const std::vector<std::pair<std::size_t, std::string>>& aResults) -> void;
  auto WaitUntil(TimePoint aLatest) -> Task<void>;

  // Attempts.
  /** \brief Engines that could take the request, and how long it waits for
   * its turn at one that names a limit. */
  auto Candidates(std::vector<EngineEntry>& aEntries)
    -> std::vector<EngineCandidate>;
  /** \brief Those that are well, or with aLastResort those that are suspended
   * and may still serve. */
  auto CandidatesOf(std::vector<EngineEntry>& aEntries, bool aLastResort,
                    Duration aPatience) -> std::vector<EngineCandidate>;
  /** \brief How long it may wait where all engines name limits. */
  [[nodiscard]] auto LongestWait() const -> Duration;
  auto ChooseEngine() -> std::shared_ptr<EngineState>;
  auto PlanHome() -> void;
  /** \brief Part of the stages' engines that is in each zone. */
  [[nodiscard]] auto StageShares() const -> std::map<std::string, double>;
  /** \brief Bytes that cross zones if the stage is made in another zone than
   * the engine. */
  [[nodiscard]] auto BytesMoved(std::size_t aStage) const -> double;
  auto Attempt(std::shared_ptr<EngineState> aEngine) -> Task<AttemptEnd>;
  auto TalkTo(const EngineLease& aLease) -> Task<AttemptEnd>;
  /** \brief Takes the answer to a request that was sent. */
  auto Converse(std::shared_ptr<EngineExchange> aExchange, TimePoint aBegan)
    -> Task<AttemptEnd>;
  auto AwaitHead(EngineExchange& aExchange) -> Task<ReadEnd>;
  auto NoteLoad(const EngineExchange& aExchange) -> void;
  /** \brief Takes note of how the exchange ended for its engine. */
  auto Settle(const EngineExchange& aExchange, AttemptEnd aResult,
              TimePoint aBegan) -> void;
  auto LogEnd(const EngineLease& aLease, AttemptEnd aEnd) -> void;
  auto MakeForwarded(const EngineEntry& aEngine) const -> std::string;
  auto TimeForHead() const -> Duration;
  /** \brief Closes the engine's connection after aTime of silence, or at the
   * deadline where no other engine can take the request by then. */
  auto CloseIfSilent(const EngineLease& aLease, Duration aTime) -> void;
  /** \brief The same, but the exchange can go on. */
  auto PauseIfSilent(const EngineLease& aLease, Duration aTime) -> void;
  /** \brief Whether another engine may take the request now; takes the repeat
   * out of the budget if so. */
  auto CanGoElsewhere() -> bool;
  auto HandOver(EngineExchange& aExchange) -> Task<AttemptEnd>;
  auto RelayStream(EngineExchange& aExchange) -> Task<AttemptEnd>;
  auto Deliver(const EngineAnswerHead& aHead, std::string aBody)
    -> Task<AttemptEnd>;
  /** \brief Counts and logs an answer that was cut at a bound. */
  auto NotePassed(const EngineLease& aLease, AnswerBound aBound) -> void;
  auto NoteLoss(const EngineLease& aLease, TimePoint aBegan) -> void;
  /** \brief Whether the request was held back, so that nothing more may be
   * tried; notes what to answer. */
  auto IsStoppedAsSuspect() -> bool;
  [[nodiscard]] auto TimeLeft() const -> Duration;
  [[nodiscard]] auto HasAttemptsLeft() const -> bool;

  // An engine that has fallen silent, kept until another one has its request.
  struct ParkedAttempt
  {
    std::shared_ptr<EngineExchange> exchange_;
    TimePoint began_;
    /** It sends bytes that are no event, so more of them say nothing. */
    bool sendsNoEvents_ = false;
  };
  auto Park(std::shared_ptr<EngineExchange> aExchange, TimePoint aBegan)
    -> AttemptEnd;
  /** \brief Whether it has spoken since, or its connection has ended. */
  [[nodiscard]] auto ParkedSpeaks() -> bool;
  /** \brief Goes on with it once the try at another one has come to nothing,
   * unless the inputs of that one have to be made again first. */
  auto ReturnToParked(std::optional<AttemptEnd> aTried)
    -> Task<std::optional<AttemptEnd>>;
  auto ResumeParked() -> Task<AttemptEnd>;
  /** \brief Closes its connection. */
  auto LeaveParked(AttemptEnd aEnd) -> void;

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
  /** Stages by the orders placed for them. */
  std::map<std::uint64_t, std::size_t> orders_;
  /** Plans by stage. */
  std::map<std::size_t, std::uint64_t> plans_;
  std::optional<OwnAnswer> stageProblem_;
  bool heldBack_ = false;
  /** How long it waits for its turn at an engine that names a limit. */
  Duration patience_{};
  /** The next repeat is out of the budget already. */
  bool repeatTaken_ = false;
  std::vector<PromptPart> prompt_;
  /** Zone where its pieces are made, that of the engine meant to run it. */
  std::string zone_;
  std::string home_;

  std::optional<ParkedAttempt> parked_;
  AttemptRecord attempts_;
  /** Why no further engine was tried, as a word for the log. */
  std::string noMore_;
  std::set<std::string> tried_;
  std::optional<EngineAnswerHead> failureHead_;
  std::string failureBody_;
  EventRelay relay_;
  bool streamBegun_ = false;
  /** Sent to an engine whose answer is not known. */
  bool unsettled_ = false;
  std::string lastEngine_;
  /** When the last bytes of an engine came. */
  TimePoint heardAt_;
  /** When the last event of the engine that streams came; the end of time
   * before it streams. */
  TimePoint eventAt_ = TimePoint::max();
  /** Runs without a whole answer so far. */
  std::uint64_t lostRuns_ = 0;
  TimePoint stagesDoneAt_;
  TimePoint firstEventAt_;
  bool finished_ = false;
};

} // namespace goldcrestcroft
