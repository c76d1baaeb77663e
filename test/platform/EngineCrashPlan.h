#pragma once

#include <chrono>
#include <string>

namespace standins {

/** \brief How an engine crashes on requests with a marker in their body or with
 * a part in their prompt, and restarts. */
struct EngineCrashPlan
{
  /** No body crashes the engine while this is empty. */
  std::string marker_;
  /** Id of a part of the prompt, other than the last, that crashes the engine;
   * none while this is empty. */
  std::string part_;
  /** Time from the arrival of the request to the crash. */
  std::chrono::milliseconds after_{ 30 };
  /** Time from the crash to the restart. */
  std::chrono::milliseconds downFor_{ 500 };
  /** Connections stay open without any traffic until the restart, instead of
   * being reset at the crash. */
  bool silent_ = false;
};

} // namespace standins
