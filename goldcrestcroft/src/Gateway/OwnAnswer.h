#pragma once

#include "../../Core.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief An answer that this system gives itself, instead of an engine. */
struct OwnAnswer
{
  int status_ = 503;
  /** A stable word for programs, logs and counters. */
  std::string reason_;
  std::string message_;
  /** When to come back; only with a promise that the request has not run. */
  std::optional<Duration> retryAfter_;
  bool closes_ = false;

  auto operator<=>(const OwnAnswer&) const = default;
};

/** \brief To a request that is held back: it has not run, and waiting does not
 * help. */
inline auto HeldBackAnswer() -> OwnAnswer
{
  return { .reason_ = "crashes_engines",
           .message_ = "engines ended whenever this request ran" };
}

} // namespace goldcrestcroft
