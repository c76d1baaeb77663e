#pragma once

#include <compare>
#include <optional>

namespace goldcrestcroft {

/** \brief Load as an engine reports it, in requests. */
struct EngineLoadReport
{
  double running_ = 0.0;
  double waiting_ = 0.0;
  double slots_ = 0.0;
  /** How long work takes at the engine now, relative to its usual time; none if
   * engines of the service do not state it. */
  std::optional<double> slowdown_;

  auto operator<=>(const EngineLoadReport&) const = default;
};

} // namespace goldcrestcroft
