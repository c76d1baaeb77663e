#pragma once

#include "AttemptFailure.h"
#include "EventStreamReader.h"
#include "HopRecord.h"
#include "RunCommand.h"
#include "StageCall.h"

#include <vector>

namespace goldcrestcroft {

/** \brief The final error of a poison request. */
auto QuarantineError() -> Error;

/** \brief State machine of one request that runs through the stages of its
 * pipeline.
 *
 * Every attempt has its own id; events for an attempt that is not active are
 * dropped. After each event the caller executes the returned commands in
 * order. */
class PipelineRun
{
public:
  using Commands = std::vector<RunCommand>;

  struct Options
  {
    RequestId id_;
    /** Stays the same for the whole run, even if a newer version is applied. */
    ConfigVersionPtr config_;
    PipelineId pipeline_;
    WorkspaceId workspace_;
    PipelineInput input_;
    TimePoint deadline_;
    /** Maximum number of attempts of one stage, the first included. */
    unsigned maxAttempts_ = 3;
    /** Whether a stage may be retried; false for a suspected poison request. */
    bool mayRetry_ = true;
  };

  explicit PipelineRun(Options aOptions);

  /** \brief Starts the first stage. */
  auto Begin(TimePoint aNow) -> Commands { return StartStage(aNow); }

  /** \brief A server was chosen and the call is about to be sent to it. */
  auto OnAssigned(const AttemptId& aAttempt, const ServerId& aServer,
                  TimePoint aNow) -> void;
  /** \brief A hedge, a copy of the active attempt, goes to another server. */
  auto OnHedged(const AttemptId& aCopy, const ServerId& aServer, TimePoint aNow)
    -> void;
  /** \brief A complete response of a stage that does not stream. */
  auto OnAnswer(const AttemptId& aAttempt, const std::string& aBody,
                RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief Bytes of a streamed response. */
  auto OnStreamBytes(const AttemptId& aAttempt, std::string_view aBytes,
                     RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief The server ended a streamed response. */
  auto OnStreamEnd(const AttemptId& aAttempt, RetryBudget& aBudget,
                   TimePoint aNow) -> Commands;
  auto OnFailure(const AttemptId& aAttempt, AttemptFailure aFailure,
                 RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief Queued work can no longer be done before its deadline. */
  auto OnInfeasible(Duration aRetryAfter, TimePoint aNow) -> Commands;
  /** \brief The request is quarantined as a poison request and is never sent
   * again. */
  auto OnQuarantined(TimePoint aNow) -> Commands;
  /** \brief A newer configuration no longer allows the work that is not sent
   * yet. */
  auto OnDisallowed(TimePoint aNow) -> Commands;
  /** \brief Ends the run if its deadline has passed. */
  auto OnTick(TimePoint aNow) -> Commands;
  /** \brief The caller disconnected; idempotent work is cancelled, since it is
   * not worth finishing. */
  auto OnCallerGone(TimePoint aNow) -> Commands;

  /** \brief Whether a hedge of the active attempt should be sent now, given the
   * expected duration. */
  [[nodiscard]] auto WantsHedge(Duration aExpected, TimePoint aNow) const
    -> bool;

  [[nodiscard]] auto Id() const -> const RequestId& { return options_.id_; }
  [[nodiscard]] auto Workspace() const -> const WorkspaceId&
  {
    return options_.workspace_;
  }
  [[nodiscard]] auto Deadline() const -> TimePoint
  {
    return options_.deadline_;
  }
  [[nodiscard]] auto ActiveAttempt() const -> const AttemptId&;
  [[nodiscard]] auto IsDone() const -> bool { return done_; }
  [[nodiscard]] auto StagePool() const -> const Pool&;
  /** \brief The pool of a stage of this pipeline, by the stage's name. */
  [[nodiscard]] auto PoolOfStage(const std::string& aName) const -> PoolId;
  [[nodiscard]] auto CurrentStage() const -> std::size_t { return stage_; }
  [[nodiscard]] auto Data() const -> const StageData& { return data_; }
  [[nodiscard]] auto Hops() const -> const std::vector<HopRecord>&
  {
    return hops_;
  }
  /** \brief The stages from the current one on, with sizes where known. */
  [[nodiscard]] auto Forecast() const -> std::vector<StageForecast>;
  /** \brief Whether a byte of any stage may have reached a server. */
  [[nodiscard]] auto MayHaveReachedServer() const -> bool
  {
    return sentAttempts_ > 0;
  }
  /** \brief Number of responses that were invalid or belonged to no active
   * attempt. */
  [[nodiscard]] auto Dropped() const -> unsigned { return dropped_; }
  /** \brief Returns a new attempt id, which a hedge needs. */
  auto MakeAttemptId() -> AttemptId;

private:
  struct Active
  {
    AttemptId id_;
    std::size_t hop_ = 0;
    bool sent_ = false;
    bool progressed_ = false;
    EventStreamReader reader_;
  };

  auto Find(const AttemptId& aAttempt) -> Active*;
  auto StartStage(TimePoint aNow) -> Commands;
  auto EnqueueAttempt(TimePoint aNow, const ServerId& aAvoid) -> SubmitWork;
  auto Retire(const AttemptId& aAttempt, std::string aResult, TimePoint aNow)
    -> void;
  auto CancelOthers(const AttemptId& aWinner, TimePoint aNow) -> Commands;
  auto Advance(const AttemptId& aAttempt, RetryBudget& aBudget, TimePoint aNow)
    -> Commands;
  auto End(RequestResult aAnswer, TimePoint aNow) -> Commands;
  [[nodiscard]] auto UnfinishedOutcome() const -> Outcome;

  Options options_;
  const Pipeline* pipeline_;
  StageData data_;
  std::size_t stage_ = 0;
  unsigned attemptsOfStage_ = 0;
  unsigned attemptsMade_ = 0;
  unsigned sentAttempts_ = 0;
  unsigned dropped_ = 0;
  /** A stage that is not idempotent was sent and has not responded. */
  bool outcomeUnknown_ = false;
  bool done_ = false;
  std::vector<Active> active_;
  std::vector<HopRecord> hops_;
};

} // namespace goldcrestcroft
