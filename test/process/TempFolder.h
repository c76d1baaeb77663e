#pragma once

#include <string>

namespace testing {

/** \brief Makes a folder of its own for a test's files. */
auto MakeTempFolder() -> std::string;

} // namespace testing
