#pragma once

#include "../Routing/Route.h"

#include <cstdint>
#include <string>

namespace goldcrestcroft {

/** \brief Outcome of one attempt at an engine. */
enum class AttemptOutcome
{
  /** The caller has the complete response. */
  Delivered,
  /** No connection: nothing was sent. */
  Unreachable,
  /** No permit: all requests that the engine accepts from all hosts together
   * are already assigned. Nothing was sent. */
  Denied,
  /** The engine states that it did not run the request. */
  Rejected,
  /** As Rejected, because results of earlier stages are no longer available. */
  InputsLost,
  /** The engine ran the request and responded with an error of its own. */
  ErrorResponse,
  /** No complete response: the engine may have run the request. */
  Lost,
  /** The engine ran the request, but the store did not record in time which
   * software version would begin the stream. The caller has no event of it. */
  Unrecorded,
  /** The caller disconnected, or the deadline passed. */
  Abandoned,
  /** The engine stalled: the attempt is kept while another engine is tried. */
  Parked
};

/** \brief The outcome as a stable lower-case word, for logs and counters. */
auto ToString(AttemptOutcome aOutcome) -> std::string;

/** \brief What to do after an attempt. */
enum class NextStep
{
  /** Respond to the caller. */
  Stop,
  /** Send the request to another engine, if the retry budget allows. */
  TryAnother,
  /** Produce the results of the last stages again, then retry. */
  ReproduceInputs
};

/** \brief The attempts of one request so far. */
struct AttemptRecord
{
  /** Engines on which the request may have run. */
  std::size_t ran_ = 0;
  std::size_t unreachable_ = 0;
  std::size_t denied_ = 0;
  std::size_t rejected_ = 0;
  std::size_t reproduced_ = 0;

  auto operator<=>(const AttemptRecord&) const = default;
};

/** \brief Bounds that apply in addition to the route's own. */
struct AttemptLimits
{
  std::size_t maxUnreachable_ = 4;
  /** Each denial costs a message and its reply between hosts. */
  std::size_t maxDenied_ = 8;
  std::size_t maxRejected_ = 2;
  std::size_t maxReproduced_ = 2;
};

/** \brief Whether the attempt may have reached an engine, so that another one
 * counts as a retry. */
[[nodiscard]] constexpr auto WasSent(AttemptOutcome aOutcome) -> bool
{
  return aOutcome != AttemptOutcome::Unreachable &&
         aOutcome != AttemptOutcome::Denied;
}

/** \brief Adds the outcome of an attempt to the record. */
auto Count(AttemptRecord aRecord, AttemptOutcome aOutcome) -> AttemptRecord;

/** \brief Decides only by what is certain: a request that is not idempotent
 * goes to another engine only if it has certainly not run. aRecord includes
 * the attempt that ended. */
auto DecideNext(const Route& aRoute, const AttemptRecord& aRecord,
                AttemptOutcome aOutcome, const AttemptLimits& aLimits = {})
  -> NextStep;

/** \brief Why DecideNext stopped after this outcome, as a word for the log. */
auto WhyStopped(const Route& aRoute, AttemptOutcome aOutcome) -> std::string;

} // namespace goldcrestcroft
