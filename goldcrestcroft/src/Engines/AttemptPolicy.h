#pragma once

#include "../Routing/Route.h"

#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief How one attempt at an engine ended. */
enum class AttemptEnd
{
  /** The caller has the whole answer. */
  Delivered,
  /** No connection: nothing was sent. */
  Unreachable,
  /** All requests that the engine takes from all hosts together are given
   * away: nothing was sent. */
  Denied,
  /** The engine states that it did not run the request. */
  Rejected,
  /** As Rejected, since results of stages are there no longer. */
  InputsGone,
  /** The engine ran it and answered with a failure of its own. */
  FailureAnswer,
  /** No whole answer: it may have run. */
  Lost,
  /** The caller left, or the time is over. */
  Abandoned,
  /** The engine is silent: it is kept while another one is asked. */
  Parked
};

/** \brief The end as a stable lower-case word, for logs and counters. */
auto ToString(AttemptEnd aEnd) -> std::string;

/** \brief What to do after an attempt. */
enum class NextStep
{
  /** Answer the caller. */
  Stop,
  /** Send it to another engine, if the budget for repeats allows. */
  TryAnother,
  /** Make the results of the last stages again, then try. */
  RemakeInputs
};

/** \brief The attempts of one request so far. */
struct AttemptRecord
{
  /** Engines on which it may have run. */
  std::size_t ran_ = 0;
  std::size_t unreachable_ = 0;
  std::size_t denied_ = 0;
  std::size_t rejected_ = 0;
  std::size_t remade_ = 0;

  auto operator<=>(const AttemptRecord&) const = default;
};

/** \brief Bounds beside the route's own. */
struct AttemptLimits
{
  std::size_t mostUnreachable_ = 4;
  /** Each costs a message and its answer between hosts. */
  std::size_t mostDenied_ = 8;
  std::size_t mostRejected_ = 2;
  std::size_t mostRemade_ = 2;
};

/** \brief Whether the attempt may have reached an engine, so that another one
 * is a repeat. */
[[nodiscard]] constexpr auto WasSent(AttemptEnd aEnd) -> bool
{
  return aEnd != AttemptEnd::Unreachable && aEnd != AttemptEnd::Denied;
}

/** \brief Counts how an attempt ended. */
auto Count(AttemptRecord aRecord, AttemptEnd aEnd) -> AttemptRecord;

/** \brief Decides by what is certain: a request that is not idempotent goes to
 * another engine only if it surely has not run. aRecord includes the attempt
 * that ended. */
auto DecideNext(const Route& aRoute, const AttemptRecord& aRecord,
                AttemptEnd aEnd, const AttemptLimits& aLimits = {}) -> NextStep;

/** \brief Why DecideNext stopped after this end, as a word for the log. */
auto WhyStopped(const Route& aRoute, AttemptEnd aEnd) -> std::string;

} // namespace goldcrestcroft
