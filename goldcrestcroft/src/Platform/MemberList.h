#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief One line of the platform's lagging membership list. */
struct ListedMember
{
  std::string id_;
  bool leaving_ = false;

  auto operator<=>(const ListedMember&) const = default;
};

/** \brief Reads {"members":[{"id":..,"state":"live"|"leaving"}]}; fails with
 * Protocol on any other text. */
auto DecodeMemberList(const std::string& aBody)
  -> Result<std::vector<ListedMember>>;

} // namespace goldcrestcroft
