#pragma once

#include "../../Core.h"

#include <map>
#include <string>

namespace goldcrestcroft {

/** \brief Bounds the log lines for each cause, so that a flood of refusals does
 * not become a flood of lines. */
class LogThrottle
{
public:
  /** Lines in a second for each cause. */
  static constexpr std::size_t kLinesPerSecond = 10;

  /** \brief Returns how many lines of this cause were suppressed since the last
   * one, or nullopt if this one is to be suppressed. */
  auto OnEvent(const std::string& aCause, TimePoint aNow)
    -> std::optional<std::size_t>
  {
    auto& state = causes_[aCause];
    if (aNow - state.windowBegin_ >= std::chrono::seconds{ 1 }) {
      state.windowBegin_ = aNow;
      state.lines_ = 0;
    }
    if (state.lines_ >= kLinesPerSecond) {
      ++state.suppressed_;
      return std::nullopt;
    }
    ++state.lines_;
    return std::exchange(state.suppressed_, 0);
  }

private:
  struct State
  {
    TimePoint windowBegin_{};
    std::size_t lines_ = 0;
    std::size_t suppressed_ = 0;
  };

  std::map<std::string, State> causes_;
};

} // namespace goldcrestcroft
