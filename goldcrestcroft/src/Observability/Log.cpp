#include "Log.h"

#include "LogLine.h"
#include "NonBlockingSink.h"

#include <spdlog/spdlog.h>

#include <unistd.h>

namespace goldcrestcroft {

namespace {

struct LogState
{
  bool json_ = false;
  std::string host_;
};

auto State() -> LogState&
{
  static LogState state;
  return state;
}

auto ToSpdlog(LogLevel aLevel) -> spdlog::level::level_enum
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

} // namespace

auto Log::Configure(const Options& aOptions) -> void
{
  State() = { .json_ = aOptions.json_, .host_ = aOptions.host_.value_ };
  auto sink = std::make_shared<internal::NonBlockingSink>(
    internal::NonBlockingSink::Options{ .descriptor_ = aOptions.standardOutput_
                                                         ? STDOUT_FILENO
                                                         : STDERR_FILENO });
  auto logger =
    std::make_shared<spdlog::logger>("goldcrestcroft", std::move(sink));
  // In JSON the message is a list of members that continues this object.
  logger->set_pattern(aOptions.json_
                        ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                        : "%Y-%m-%d %H:%M:%S.%e %l %v");
  spdlog::set_default_logger(std::move(logger));
  SetLevel(aOptions.level_);
}

auto Log::SetLevel(const std::string& aLevel) -> void
{
  spdlog::set_level(spdlog::level::from_str(aLevel));
}

auto Log::Write(LogLevel aLevel, std::string_view aEvent,
                std::initializer_list<LogField> aFields) -> void
{
  const auto level = ToSpdlog(aLevel);
  if (!spdlog::should_log(level)) {
    return;
  }
  const auto& state = State();
  const auto line = state.json_ ? JsonLogLine(aEvent, state.host_, aFields)
                                : TextLogLine(aEvent, aFields);
  spdlog::log(level, std::string_view(line));
}

} // namespace goldcrestcroft
