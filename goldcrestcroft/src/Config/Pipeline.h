#pragma once

#include "../../Core.h"
#include "Priority.h"

#include <vector>

namespace goldcrestcroft {

/** \brief One step of a pipeline. */
struct Stage
{
  std::string name_;
  PoolId pool_;

  auto operator<=>(const Stage&) const = default;
};

/** \brief A chain of stages under one deadline. */
struct Pipeline
{
  PipelineId id_;
  std::vector<Stage> stages_;
  std::vector<WorkspaceId> workspaces_;
  Priority priority_ = Priority::Normal;
  Duration maxDeadline_{ 0 };

  auto operator<=>(const Pipeline&) const = default;
};

} // namespace goldcrestcroft
