#pragma once

#include <chrono>
#include <string>

namespace standins {

/** \brief How an engine ends under requests that have a marker in their body,
 * and starts again. */
struct EngineEnding
{
  /** No request ends it while this is empty. */
  std::string marker_;
  /** From the arrival of the request to the end. */
  std::chrono::milliseconds after_{ 30 };
  /** From the end to the next start. */
  std::chrono::milliseconds away_{ 500 };
  /** Its connections stay and carry nothing until it starts again, instead of
   * being reset at its end. */
  bool silent_ = false;
};

} // namespace standins
