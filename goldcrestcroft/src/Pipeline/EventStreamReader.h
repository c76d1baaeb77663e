#pragma once

#include "../../Core.h"

#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief Incremental parser of the event stream of a completion.
 *
 * The stream is complete only after a finish reason and the final [DONE]. */
class EventStreamReader
{
public:
  /** \brief Appends bytes and returns the text of the events that they
   * complete. Fails with Protocol on an event that is not a completion chunk or
   * that exceeds the size limit. */
  auto Feed(std::string_view aBytes) -> Result<std::string>;

  [[nodiscard]] auto IsComplete() const -> bool { return finished_ && closed_; }

private:
  auto ReadEvent(std::string_view aData, std::string& aText) -> Result<void>;

  std::string buffer_;
  bool finished_ = false;
  bool closed_ = false;
};

} // namespace goldcrestcroft
