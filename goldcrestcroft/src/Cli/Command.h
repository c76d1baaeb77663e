#pragma once

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief A subcommand: takes the words after its name, returns the exit code.
 * 0 done, 1 failed, 2 wrong use. */
auto RunEntry(const std::vector<std::string>& aWords) -> int;
auto RunServe(const std::vector<std::string>& aWords) -> int;
auto RunCheck(const std::vector<std::string>& aWords) -> int;
auto RunConfig(const std::vector<std::string>& aWords) -> int;
auto RunHosts(const std::vector<std::string>& aWords) -> int;
auto RunStatus(const std::vector<std::string>& aWords) -> int;
auto RunLoad(const std::vector<std::string>& aWords) -> int;

/** \brief Prints a line to standard error and returns 2. */
auto WrongUse(const std::string& aHelp) -> int;

} // namespace goldcrestcroft
