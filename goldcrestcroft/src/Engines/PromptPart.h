#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief A part of a prompt, which engines keep in memory for its next use. */
struct PromptPart
{
  std::string id_;
  double tokens_ = 0.0;

  auto operator<=>(const PromptPart&) const = default;
};

/** \brief The part that a prompt shares with others and that tells most of
 * what an engine may have kept; the last part is the request's own. Empty for
 * prompts without shared parts. */
auto SharedPartId(const std::vector<PromptPart>& aParts) -> std::string;

} // namespace goldcrestcroft
