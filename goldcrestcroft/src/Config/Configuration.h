#pragma once

#include "Pipeline.h"
#include "Pool.h"
#include "Workspace.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace goldcrestcroft {

/** \brief One complete, valid configuration. \sa ParseConfiguration */
class Configuration
{
public:
  struct Options
  {
    std::vector<Workspace> workspaces_;
    std::vector<Pool> pools_;
    std::vector<Pipeline> pipelines_;
  };

  Configuration() = default;
  explicit Configuration(Options aOptions);

  [[nodiscard]] auto Workspaces() const -> const std::vector<Workspace>&
  {
    return workspaces_;
  }
  [[nodiscard]] auto Pools() const -> const std::vector<Pool>&
  {
    return pools_;
  }
  [[nodiscard]] auto Pipelines() const -> const std::vector<Pipeline>&
  {
    return pipelines_;
  }

  /** \brief Lookups return nullptr if there is no such item. */
  [[nodiscard]] auto FindWorkspace(const WorkspaceId& aId) const
    -> const Workspace*;
  [[nodiscard]] auto FindPool(const PoolId& aId) const -> const Pool*;
  [[nodiscard]] auto FindServer(const ServerId& aId) const
    -> const BackendServer*;
  [[nodiscard]] auto FindPipeline(const PipelineId& aId) const
    -> const Pipeline*;

  /** \brief Whether the pools of all stages of the pipeline are idempotent. */
  [[nodiscard]] auto IsIdempotent(const Pipeline& aPipeline) const -> bool;

  auto operator==(const Configuration&) const -> bool = default;

private:
  std::vector<Workspace> workspaces_;
  std::vector<Pool> pools_;
  std::vector<Pipeline> pipelines_;
};

/** \brief Parses and validates a configuration document.
 *
 * Fails with InvalidConfiguration; the error names the key and a remedy. */
auto ParseConfiguration(const nlohmann::json& aDocument)
  -> Result<Configuration>;

} // namespace goldcrestcroft
