#pragma once

#include "PipelineInput.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief The results that the stages of one request have produced so far. */
struct StageData
{
  PipelineInput input_;
  /** The embedding, as the JSON text of a list of numbers. */
  std::string embedding_;
  /** Retrieved documents; once reranked, the best first. */
  std::vector<std::string> documents_;
  /** The output of the last generate or call stage. */
  std::string text_;

  auto operator<=>(const StageData&) const = default;
};

} // namespace goldcrestcroft
