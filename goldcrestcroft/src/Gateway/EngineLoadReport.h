#pragma once

#include <compare>

namespace goldcrestcroft {

/** \brief Load as an engine reports it, in requests. */
struct EngineLoadReport
{
  double running_ = 0.0;
  double waiting_ = 0.0;
  double slots_ = 0.0;
  /** How long work takes at the engine now, relative to its usual time. */
  double slowdown_ = 1.0;

  auto operator<=>(const EngineLoadReport&) const = default;
};

} // namespace goldcrestcroft
