#include "UnreadableRows.h"

#include "../Observability/Log.h"

namespace goldcrestcroft {

auto UnreadableRows::Report(const std::string& aKey, const Error& aError,
                            TimePoint aNow) -> bool
{
  const auto known = logged_.find(aKey);
  if (known != logged_.end() && known->second == aError.message_) {
    return false;
  }
  if (known == logged_.end() && logged_.size() >= options_.maxLogged_) {
    notLoggedSince_ = notLogged_ == 0 ? aNow : notLoggedSince_;
    ++notLogged_;
    return true;
  }
  logged_[aKey] = aError.message_;
  Log::Write(LogLevel::Warning, options_.event_,
             { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
  return true;
}

auto UnreadableRows::Summarize(TimePoint aNow) -> std::size_t
{
  if (notLogged_ == 0 || aNow - notLoggedSince_ < options_.interval_) {
    return 0;
  }
  Log::Write(LogLevel::Warning, options_.event_,
             { { "reason", "further rows, or changes of them" },
               { "rows", std::to_string(notLogged_) } });
  logged_.clear();
  return std::exchange(notLogged_, 0);
}

} // namespace goldcrestcroft
