#pragma once

#include "PipelineInput.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief What the stages of one request have made so far. */
struct StageData
{
  PipelineInput input_;
  /** The embedding, as the JSON text of a list of numbers. */
  std::string embedding_;
  /** Retrieved documents; once reranked, the best first. */
  std::vector<std::string> documents_;
  /** What the last generate or call stage said. */
  std::string text_;

  auto operator<=>(const StageData&) const = default;
};

} // namespace goldcrestcroft
