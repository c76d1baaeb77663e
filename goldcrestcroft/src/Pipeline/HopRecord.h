#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief One attempt of one stage, for traces and the answer's timings. */
struct HopRecord
{
  std::string stage_;
  AttemptId attempt_;
  ServerId server_;
  TimePoint queuedAt_;
  TimePoint sentAt_;
  TimePoint endedAt_;
  /** "ok", "cancelled" or the failure. */
  std::string result_;

  auto operator<=>(const HopRecord&) const = default;
};

} // namespace goldcrestcroft
