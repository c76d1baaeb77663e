#include "TempFolder.h"

#include <cstdlib>
#include <exception>
#include <filesystem>

namespace testing {

TempFolder::TempFolder()
  // mkdtemp replaces the last six characters.
  : path_("/tmp/goldcrestcroft-" + std::string(6, 'X'))
{
  mkdtemp(path_.data());
}

TempFolder::~TempFolder()
{
  if (!kept_ && std::uncaught_exceptions() == 0) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

} // namespace testing
