#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief One attempt of one stage, for traces and the timings in the
 * response. */
struct HopRecord
{
  std::string stage_;
  AttemptId attempt_;
  ServerId server_;
  TimePoint queuedAt_;
  TimePoint sentAt_;
  TimePoint endedAt_;
  /** "ok", "cancelled" or the name of the failure. */
  std::string result_;

  auto operator<=>(const HopRecord&) const = default;
};

} // namespace goldcrestcroft
