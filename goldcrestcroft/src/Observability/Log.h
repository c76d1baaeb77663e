#pragma once

#include "../../Core.h"
#include "LogField.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace goldcrestcroft {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

/** \brief Structured logging, one line per event. Safe for all threads; never
 * blocks on the reader of the log. */
class Log
{
public:
  struct Options
  {
    bool json_ = true;
    std::string level_ = "info";
    HostId host_;
    /** Write to standard output instead of standard error. */
    bool standardOutput_ = false;
  };

  /** \brief Call once at startup, before other threads run. */
  static auto Configure(const Options& aOptions) -> void;

  /** \brief Sets the level to "debug", "info", "warning" or "error"; may be
   * called at any time. */
  static auto SetLevel(const std::string& aLevel) -> void;

  /** \brief Writes one line. aEvent is a constant phrase; variable parts go
   * into fields. */
  static auto Write(LogLevel aLevel, std::string_view aEvent,
                    std::initializer_list<LogField> aFields = {}) -> void;
};

} // namespace goldcrestcroft
