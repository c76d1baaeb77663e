#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief What a caller asks of a pipeline. */
struct PipelineInput
{
  std::string text_;
  unsigned maxTokens_ = 0;
  /** Requests of one session share a prompt prefix. */
  std::string session_;

  auto operator<=>(const PipelineInput&) const = default;
};

} // namespace goldcrestcroft
