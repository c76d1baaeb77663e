#pragma once

#include "../../Core.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief A part of a prompt, which engines keep in memory for reuse. */
struct PromptPart
{
  std::string id_;
  double tokens_ = 0.0;

  auto operator<=>(const PromptPart&) const = default;
};

/** \brief The part that best identifies what an engine may have cached of a
 * prompt: the last one that the prompt shares with others, as the final part
 * belongs to the request alone. Empty for prompts without shared parts. */
auto SharedPartId(const std::vector<PromptPart>& aParts) -> std::string;

/** \brief Ids of the parts that the prompt may share with others: all but the
 * last, each once, in the order of the prompt. */
auto SharedPartIds(const std::vector<PromptPart>& aParts)
  -> std::vector<std::string>;

} // namespace goldcrestcroft
