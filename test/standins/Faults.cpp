#include "Faults.h"

#include <nlohmann/json.hpp>

namespace standins {

auto ApplyFaults(const std::string& aBody, std::size_t aNextConnection,
                 Faults& aFaults) -> void
{
  const auto body = nlohmann::json::parse(aBody);
  aFaults.crashOn_ = body.value("crash_on", aFaults.crashOn_);
  aFaults.hang_ = body.value("hang", aFaults.hang_);
  aFaults.foreign_ = body.value("foreign", aFaults.foreign_);
  aFaults.truncate_ = body.value("truncate", aFaults.truncate_);
  aFaults.down_ = body.value("down", aFaults.down_);
  aFaults.loseAnswers_ = body.value("lose_answers", aFaults.loseAnswers_);
  aFaults.leaving_ = body.value("leaving", aFaults.leaving_);
  aFaults.delayMilliseconds_ =
    body.value("delay_ms", aFaults.delayMilliseconds_);
  if (body.value("silence_open", false)) {
    aFaults.silentBelow_ = aNextConnection;
  }
}

} // namespace standins
