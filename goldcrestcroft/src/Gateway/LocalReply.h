#pragma once

#include "../../Core.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief A local reply: a response that this system generates itself instead
 * of an engine. */
struct LocalReply
{
  int status_ = 503;
  /** Stable identifier for programs, logs and counters. */
  std::string reason_;
  std::string message_;
  /** When to retry; set only if the request was certainly not executed. */
  std::optional<Duration> retryAfter_;
  bool closes_ = false;

  auto operator<=>(const LocalReply&) const = default;
};

/** \brief Reply to a quarantined request: it was not executed, and retrying
 * later does not help. */
inline auto QuarantinedReply() -> LocalReply
{
  return { .reason_ = "crashes_engines",
           .message_ = "engines ended whenever this request ran" };
}

} // namespace goldcrestcroft
