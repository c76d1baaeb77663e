#pragma once

#include "../../Core.h"

#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief Reads the event stream of a completion, piece by piece.
 *
 * The stream is whole only after a finish reason and the closing [DONE]. */
class EventStreamReader
{
public:
  /** \brief Takes bytes and returns the text that they complete; fails with
   * Protocol on an event that is not a completion chunk. */
  auto Feed(std::string_view aBytes) -> Result<std::string>;

  [[nodiscard]] auto IsWhole() const -> bool { return finished_ && closed_; }

private:
  auto ReadEvent(std::string_view aData, std::string& aText) -> Result<void>;

  std::string buffer_;
  bool finished_ = false;
  bool closed_ = false;
};

} // namespace goldcrestcroft
