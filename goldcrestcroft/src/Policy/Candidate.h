#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief What routing knows of one server that could take a work. */
struct Candidate
{
  const ServerId* server_ = nullptr;
  /** Requests that the server works on at the same time. */
  double slots_ = 1.0;
  /** Requests of all entry hosts believed to be there now. */
  double estimated_ = 0.0;
  /** Requests there as the server last reported. */
  double reported_ = 0.0;
  /** Requests of this entry host there now. */
  double own_ = 0.0;
  /** Observed over expected duration. */
  double slowness_ = 1.0;
  bool sameZone_ = true;
  /** Among the homes of the work's affinity. */
  bool affine_ = false;

  [[nodiscard]] auto HasRoom() const -> bool { return estimated_ < slots_; }
};

} // namespace goldcrestcroft
