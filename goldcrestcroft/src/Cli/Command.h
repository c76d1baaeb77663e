#pragma once

#include "../Process/ProcessMain.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Subcommands. Each takes the arguments after its name and returns the
 * exit code. */
auto RunServe(const std::vector<std::string>& aArguments) -> int;
auto RunCheck(const std::vector<std::string>& aArguments) -> int;
auto RunConfig(const std::vector<std::string>& aArguments) -> int;
auto RunHosts(const std::vector<std::string>& aArguments) -> int;
auto RunStatus(const std::vector<std::string>& aArguments) -> int;
auto RunLoad(const std::vector<std::string>& aArguments) -> int;

/** \brief Prints a usage line to standard error and returns 2. */
auto UsageError(const std::string& aHelp) -> int;

} // namespace goldcrestcroft
