#include "PromptPart.h"

#include <set>

namespace goldcrestcroft {

auto SharedPartId(const std::vector<PromptPart>& aParts) -> std::string
{
  return aParts.size() < 2 ? "" : aParts[aParts.size() - 2].id_;
}

auto SharedPartIds(const std::vector<PromptPart>& aParts)
  -> std::vector<std::string>
{
  std::vector<std::string> ids;
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    if (seen.insert(aParts[i].id_).second) {
      ids.push_back(aParts[i].id_);
    }
  }
  return ids;
}

} // namespace goldcrestcroft
