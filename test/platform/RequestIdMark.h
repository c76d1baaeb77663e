#pragma once

#include <string>

namespace standins {

/** \brief Replaces "@ID" by the request's id. */
inline auto WithId(std::string aBytes, const std::string& aId) -> std::string
{
  const std::string mark = "@ID";
  for (auto at = aBytes.find(mark); at != std::string::npos;
       at = aBytes.find(mark)) {
    aBytes.replace(at, mark.size(), aId);
  }
  return aBytes;
}

} // namespace standins
