#pragma once

#include <compare>
#include <functional>
#include <string>

namespace goldcrestcroft {

/** \brief A string identifier that does not convert to identifiers of other
 * tags. */
template<typename Tag>
struct StrongId
{
  std::string value_;

  auto operator<=>(const StrongId&) const = default;
  [[nodiscard]] auto Empty() const -> bool { return value_.empty(); }
};

} // namespace goldcrestcroft

template<typename Tag>
struct std::hash<goldcrestcroft::StrongId<Tag>>
{
  auto operator()(const goldcrestcroft::StrongId<Tag>& aId) const noexcept
    -> std::size_t
  {
    return std::hash<std::string>{}(aId.value_);
  }
};
