#include "Log.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

auto Log::Configure(bool aJson, const std::string& aLevel, const HostId& aHost)
  -> void
{
  State() = { .json_ = aJson, .host_ = aHost.value_ };
  auto logger = spdlog::stderr_logger_mt("goldcrestcroft");
  // In JSON the message already starts with its first key.
  logger->set_pattern(aJson
                        ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                        : "%Y-%m-%d %H:%M:%S.%e %l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(std::move(logger));
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
  nlohmann::ordered_json object{ { "event", aEvent },
                                 { "host", State().host_ } };
  for (const auto& field : aFields) {
    object[std::string(field.name_)] = field.value_;
  }
  const auto text =
    object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  spdlog::log(level, std::string_view(text).substr(1, text.size() - 2));
}

} // namespace goldcrestcroft
