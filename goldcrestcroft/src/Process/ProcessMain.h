#pragma once

#include "../Core/Error.h"

#include <exception>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Exit codes besides 0 for success. */
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
/** The settings are invalid, so that another start fails in the same way; the
 * number is EX_CONFIG of sysexits.h. */
constexpr int kExitInvalidSettings = 78;

/** \brief Sets what signals do to a process that runs until one stops it:
 * SIGTERM, SIGINT and SIGHUP stay pending until it handles them, those of
 * failed writes and those that mean nothing to a server are ignored, and others
 * end it with a line that names them. */
auto PrepareServerSignals() -> void;

/** \brief Prints the error to standard error and returns the exit code for it.
 */
auto ReportError(const Error& aError) -> int;

/** \brief Returns the exit code of aRun; turns an exception, such as one of a
 * lack of file descriptors, into an error. */
template<typename Run>
auto RunReporting(Run aRun) -> int
{
  try {
    return aRun();
  } catch (const std::exception& problem) {
    return ReportError({ .message_ = problem.what(),
                         .remedy_ = "check the limits of the process, and "
                                    "report this line" });
  }
}

/** \brief Runs an entry host until a signal stops it; the first argument, or
 * else an environment variable, names its settings file. Returns the exit code.
 */
auto RunEntry(const std::vector<std::string>& aArguments) -> int;

} // namespace goldcrestcroft
