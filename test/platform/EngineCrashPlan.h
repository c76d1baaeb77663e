#pragma once

#include <chrono>
#include <string>

namespace standins {

/** \brief How an engine crashes on requests with a marker in their body, and
 * restarts. */
struct EngineCrashPlan
{
  /** No request crashes the engine while this is empty. */
  std::string marker_;
  /** Time from the arrival of the request to the crash. */
  std::chrono::milliseconds after_{ 30 };
  /** Time from the crash to the restart. */
  std::chrono::milliseconds downFor_{ 500 };
  /** Connections stay open without any traffic until the restart, instead of
   * being reset at the crash. */
  bool silent_ = false;
};

} // namespace standins
