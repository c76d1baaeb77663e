#include "Log.h"

#include "NonBlockingSink.h"

#include <spdlog/fmt/fmt.h>
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

/** Appends a JSON member. Escapes quotes and backslashes; replaces control
 * characters and characters outside ASCII by '?'. */
auto AppendText(fmt::memory_buffer& aLine, std::string_view aName,
                std::string_view aText) -> void
{
  constexpr auto kFirstPrintable = 0x20;
  fmt::format_to(fmt::appender(aLine), "\"{}\":\"", aName);
  for (const auto character : aText) {
    if (character == '"' || character == '\\') {
      aLine.push_back('\\');
      aLine.push_back(character);
    } else {
      const auto printable = character >= kFirstPrintable && character < 0x7f;
      aLine.push_back(printable ? character : '?');
    }
  }
  aLine.push_back('"');
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
  if (!State().json_) {
    std::string line(aEvent);
    for (const auto& field : aFields) {
      line.append(" ").append(field.name_).append("=").append(field.value_);
    }
    spdlog::log(level, line);
    return;
  }
  fmt::memory_buffer line;
  AppendText(line, "event", aEvent);
  line.push_back(',');
  AppendText(line, "host", State().host_);
  for (const auto& field : aFields) {
    line.push_back(',');
    AppendText(line, field.name_, field.value_);
  }
  spdlog::log(level, std::string_view(line.data(), line.size()));
}

} // namespace goldcrestcroft
