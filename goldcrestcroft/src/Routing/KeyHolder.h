#pragma once

#include <compare>
#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief The workspace that holds an API key. */
struct KeyHolder
{
  std::string workspace_;
  /** Takes precedence over the route's rank. */
  std::optional<int> rank_;

  auto operator<=>(const KeyHolder&) const = default;
};

} // namespace goldcrestcroft
