#pragma once

#include "AttemptFailure.h"
#include "EventStreamReader.h"
#include "HopRecord.h"
#include "RunCommand.h"
#include "StageCall.h"

#include <vector>

namespace goldcrestcroft {

/** \brief The final error of a request that crashes servers. */
auto QuarantineError() -> Error;

/** \brief One request on its way through the stages of its pipeline.
 *
 * Every attempt has an id of its own; whatever comes for an attempt that is not
 * active is dropped. After each event, carry out the returned commands in
 * order. */
class PipelineRun
{
public:
  using Commands = std::vector<RunCommand>;

  struct Options
  {
    RequestId id_;
    /** Kept for the whole run, whatever version comes in force meanwhile. */
    ConfigVersionPtr config_;
    PipelineId pipeline_;
    WorkspaceId workspace_;
    PipelineInput input_;
    TimePoint deadline_;
    /** Attempts of one stage, the first included. */
    unsigned maxAttempts_ = 3;
    /** Whether a stage may be repeated; a suspect must not. */
    bool mayRetry_ = true;
  };

  explicit PipelineRun(Options aOptions);

  /** \brief Starts the first stage. */
  auto Begin(TimePoint aNow) -> Commands { return StartStage(aNow); }

  /** \brief A server was chosen; the call is about to be sent to it. */
  auto OnAssigned(const AttemptId& aAttempt, const ServerId& aServer,
                  TimePoint aNow) -> void;
  /** \brief A second copy of the active attempt goes to another server. */
  auto OnHedged(const AttemptId& aCopy, const ServerId& aServer, TimePoint aNow)
    -> void;
  /** \brief A whole answer of a stage that is not a stream. */
  auto OnAnswer(const AttemptId& aAttempt, const std::string& aBody,
                RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief Bytes of a streamed answer. */
  auto OnStreamBytes(const AttemptId& aAttempt, std::string_view aBytes,
                     RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief A streamed answer ended by its server. */
  auto OnStreamEnd(const AttemptId& aAttempt, RetryBudget& aBudget,
                   TimePoint aNow) -> Commands;
  auto OnFailure(const AttemptId& aAttempt, AttemptFailure aFailure,
                 RetryBudget& aBudget, TimePoint aNow) -> Commands;
  /** \brief Waiting work can no longer be done in time. */
  auto OnInfeasible(Duration aRetryAfter, TimePoint aNow) -> Commands;
  /** \brief The request crashes servers; it is never sent again. */
  auto OnQuarantined(TimePoint aNow) -> Commands;
  /** \brief A newer configuration no longer allows what was not yet sent. */
  auto OnLapsed(TimePoint aNow) -> Commands;
  /** \brief The deadline ends a run. */
  auto OnTick(TimePoint aNow) -> Commands;
  /** \brief The caller hung up; idempotent work is not worth finishing. */
  auto OnCallerGone(TimePoint aNow) -> Commands;

  /** \brief Whether a second copy of the slow attempt is wanted now, given the
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
  /** \brief The stages from the current one on, with known sizes. */
  [[nodiscard]] auto Forecast() const -> std::vector<StageForecast>;
  /** \brief Whether a byte of any stage may have reached a server. */
  [[nodiscard]] auto WasHandedOver() const -> bool { return handedOver_ > 0; }
  /** \brief Answers that came for no active attempt or were not whole. */
  [[nodiscard]] auto Dropped() const -> unsigned { return dropped_; }
  /** \brief The id of the next attempt, to name a hedge. */
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
  auto Requeue(TimePoint aNow, const ServerId& aAvoid) -> SubmitWork;
  auto Retire(const AttemptId& aAttempt, std::string aResult, TimePoint aNow)
    -> void;
  auto CancelOthers(const AttemptId& aWinner, TimePoint aNow) -> Commands;
  auto Advance(const AttemptId& aAttempt, RetryBudget& aBudget, TimePoint aNow)
    -> Commands;
  auto End(CallerAnswer aAnswer, TimePoint aNow) -> Commands;
  [[nodiscard]] auto UnfinishedOutcome() const -> Outcome;

  Options options_;
  const Pipeline* pipeline_;
  StageData data_;
  std::size_t stage_ = 0;
  unsigned attemptsOfStage_ = 0;
  unsigned attemptsMade_ = 0;
  unsigned handedOver_ = 0;
  unsigned dropped_ = 0;
  /** A stage that may not be repeated was handed over and not answered. */
  bool inDoubt_ = false;
  bool done_ = false;
  std::vector<Active> active_;
  std::vector<HopRecord> hops_;
};

} // namespace goldcrestcroft
