#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Routing input: one server that may take a work item. */
struct Candidate
{
  const ServerId* server_ = nullptr;
  /** Requests that the server processes concurrently. */
  double slots_ = 1.0;
  /** Estimated requests of all entry hosts at the server. */
  double estimated_ = 0.0;
  /** Requests at the server according to its last report. */
  double reported_ = 0.0;
  /** Requests of this entry host at the server. */
  double own_ = 0.0;
  /** Ratio of observed to expected duration. */
  double slowness_ = 1.0;
  bool sameZone_ = true;
  /** The server is a home of the work item's affinity value. */
  bool affine_ = false;

  [[nodiscard]] auto HasCapacity() const -> bool { return estimated_ < slots_; }
};

} // namespace goldcrestcroft
