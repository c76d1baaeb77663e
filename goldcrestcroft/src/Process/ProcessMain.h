#pragma once

#include "../Core/Error.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Exit codes besides 0 for success. */
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/** \brief Sets what signals do to a process that runs until one stops it:
 * SIGTERM, SIGINT and SIGHUP stay pending until it handles them, those of
 * failed writes are ignored, and others end it with a line that names them. */
auto PrepareServerSignals() -> void;

/** \brief Prints the error to standard error and returns the exit code for it.
 */
auto ReportError(const Error& aError) -> int;

/** \brief Runs an entry host until a signal stops it; the first argument, or
 * else an environment variable, names its settings file. Returns the exit code.
 */
auto RunEntry(const std::vector<std::string>& aArguments) -> int;

} // namespace goldcrestcroft
