#include "TempFolder.h"

#include <cstdlib>

namespace testing {

auto MakeTempFolder() -> std::string
{
  // mkdtemp replaces the last six letters.
  auto pattern = "/tmp/goldcrestcroft-" + std::string(6, 'X');
  return mkdtemp(pattern.data());
}

} // namespace testing
