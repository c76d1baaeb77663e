#include "Span.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

auto Nanoseconds(std::chrono::system_clock::time_point aTime) -> std::string
{
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          aTime.time_since_epoch())
                          .count());
}

auto Attribute(const std::string& aName, const std::string& aValue) -> json
{
  return { { "key", aName }, { "value", { { "stringValue", aValue } } } };
}

} // namespace

auto EncodeSpans(const std::vector<Span>& aSpans, const HostId& aHost)
  -> std::string
{
  constexpr int kServerSpan = 2;
  constexpr int kErrorStatus = 2;
  auto list = json::array();
  for (const auto& span : aSpans) {
    auto attributes = json::array();
    for (const auto& attribute : span.attributes_) {
      attributes.push_back(Attribute(attribute.name_, attribute.value_));
    }
    json item{ { "traceId", span.context_.traceId_ },
               { "spanId", span.context_.spanId_ },
               { "name", span.name_ },
               { "kind", kServerSpan },
               { "startTimeUnixNano", Nanoseconds(span.start_) },
               { "endTimeUnixNano", Nanoseconds(span.end_) },
               { "attributes", std::move(attributes) } };
    if (!span.parentSpanId_.empty()) {
      item["parentSpanId"] = span.parentSpanId_;
    }
    if (span.failed_) {
      item["status"] = { { "code", kErrorStatus } };
    }
    list.push_back(std::move(item));
  }
  const auto resource =
    json::array({ Attribute("service.name", "goldcrestcroft"),
                  Attribute("host.name", aHost.value_) });
  return json{
    { "resourceSpans",
      json::array(
        { { { "resource", { { "attributes", resource } } },
            { "scopeSpans",
              json::array({ { { "scope", { { "name", "goldcrestcroft" } } },
                              { "spans", std::move(list) } } }) } } }) }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace goldcrestcroft
