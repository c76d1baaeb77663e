#include "PromptPart.h"

namespace goldcrestcroft {

auto SharedPartId(const std::vector<PromptPart>& aParts) -> std::string
{
  return aParts.size() < 2 ? "" : aParts[aParts.size() - 2].id_;
}

} // namespace goldcrestcroft
