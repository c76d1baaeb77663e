#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Pieces that a running request will order in a later stage. */
struct StagePlan
{
  std::uint32_t pieces_ = 0;
  int rank_ = 0;
  TimePoint dueAt_;

  auto operator<=>(const StagePlan&) const = default;
};

} // namespace goldcrestcroft
