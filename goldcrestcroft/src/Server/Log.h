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

/** \brief Structured one-line logs on standard error. Safe for all threads. */
class Log
{
public:
  /** \brief Set once at the start, before other threads run. */
  static auto Configure(bool aJson, const std::string& aLevel,
                        const HostId& aHost) -> void;

  /** \brief aEvent is a fixed phrase; what varies goes into fields. */
  static auto Write(LogLevel aLevel, std::string_view aEvent,
                    std::initializer_list<LogField> aFields = {}) -> void;
};

} // namespace goldcrestcroft
