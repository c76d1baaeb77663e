#pragma once

#include "../../Core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief What one start of an engine said of its limit, and when. */
struct EngineLimit
{
  std::string engine_;
  /** Unix milliseconds, 0 where it does not tell. */
  std::uint64_t startedAt_ = 0;
  /** Requests a second from all hosts together; none once it takes any
   * number again. */
  std::optional<double> perSecond_;
  TimePoint statedAt_;

  auto operator<=>(const EngineLimit&) const = default;
};

/** \brief The limit that a text names, a decimal number, zero or more; none if
 * it is no such number. */
auto ReadLimit(std::string_view aText) -> std::optional<double>;

} // namespace goldcrestcroft
