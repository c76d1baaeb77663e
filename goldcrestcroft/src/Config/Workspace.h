#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief A customer, with its fair-share weight. */
struct Workspace
{
  WorkspaceId id_;
  double weight_ = 1.0;

  auto operator<=>(const Workspace&) const = default;
};

} // namespace goldcrestcroft
