#pragma once

#include "../../Core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief The rate limit that one incarnation of an engine advertised, and
 * when. */
struct EngineLimit
{
  std::string engine_;
  /** Unix milliseconds; 0 if the engine does not report it. */
  std::uint64_t startedAt_ = 0;
  /** Requests per second from all hosts together; none once the engine has
   * lifted its limit. */
  std::optional<double> perSecond_;
  TimePoint statedAt_;

  auto operator<=>(const EngineLimit&) const = default;
};

/** \brief Parses a limit: a decimal number, zero or more. Returns none for any
 * other text. */
auto ParseLimit(std::string_view aText) -> std::optional<double>;

} // namespace goldcrestcroft
