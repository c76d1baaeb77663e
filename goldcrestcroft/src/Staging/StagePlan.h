#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Pieces of a later stage of a request that has begun. */
struct StagePlan
{
  std::uint32_t pieces_ = 0;
  int rank_ = 0;
  TimePoint dueAt_;

  auto operator<=>(const StagePlan&) const = default;
};

} // namespace goldcrestcroft
