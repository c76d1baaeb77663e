#include "EngineLimit.h"

#include <charconv>
#include <cmath>

namespace goldcrestcroft {

auto ParseLimit(std::string_view aText) -> std::optional<double>
{
  auto value = 0.0;
  const auto* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  const auto readable = error == std::errc{} && stop == end &&
                        std::isfinite(value) && !std::signbit(value);
  return readable ? std::optional(value) : std::nullopt;
}

} // namespace goldcrestcroft
