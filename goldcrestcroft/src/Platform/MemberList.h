#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief An entry of the platform's membership list, which lags behind the
 * actual membership. */
struct ListedMember
{
  std::string id_;
  bool leaving_ = false;

  auto operator<=>(const ListedMember&) const = default;
};

/** \brief Decodes {"members":[{"id":..,"state":"live"|"leaving"}]}.
 *
 * Any state other than "leaving" is read as live. Fails with Protocol if the
 * text is not JSON, or if a key is missing or has the wrong type. */
auto DecodeMemberList(const std::string& aBody)
  -> Result<std::vector<ListedMember>>;

} // namespace goldcrestcroft
