#pragma once

#include "../../Core.h"

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

/** \brief One named value on a log line. */
struct LogField
{
  std::string_view name_;
  std::string value_;
};

/** \brief Structured one-line logs. Safe for all threads; never waits for the
 * reader of the lines. */
class Log
{
public:
  struct Options
  {
    bool json_ = true;
    std::string level_ = "info";
    HostId host_;
    /** On standard output, else on standard error. */
    bool standardOutput_ = false;
  };

  /** \brief Set once at the start, before other threads run. */
  static auto Configure(const Options& aOptions) -> void;

  /** \brief "debug", "info", "warning" or "error", at any time. */
  static auto SetLevel(const std::string& aLevel) -> void;

  /** \brief aEvent is a fixed phrase; what varies goes into fields. */
  static auto Write(LogLevel aLevel, std::string_view aEvent,
                    std::initializer_list<LogField> aFields = {}) -> void;
};

} // namespace goldcrestcroft
