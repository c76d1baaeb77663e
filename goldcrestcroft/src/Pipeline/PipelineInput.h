#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief The input that a caller sends to a pipeline. */
struct PipelineInput
{
  std::string text_;
  unsigned maxTokens_ = 0;
  /** Requests of one session share a prompt prefix. */
  std::string session_;

  auto operator<=>(const PipelineInput&) const = default;
};

} // namespace goldcrestcroft
