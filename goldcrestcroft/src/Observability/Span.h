#pragma once

#include "TraceContext.h"

#include <chrono>
#include <vector>

namespace goldcrestcroft {

/** \brief A key and value of a span. */
struct SpanAttribute
{
  std::string name_;
  std::string value_;
};

/** \brief One hop of a request, as exported to the trace collector. */
struct Span
{
  TraceContext context_;
  std::string parentSpanId_;
  std::string name_;
  std::chrono::system_clock::time_point start_;
  std::chrono::system_clock::time_point end_;
  bool failed_ = false;
  std::vector<SpanAttribute> attributes_;
};

/** \brief Encodes spans as the body of an OTLP/JSON export request. */
auto EncodeSpans(const std::vector<Span>& aSpans, const HostId& aHost)
  -> std::string;

} // namespace goldcrestcroft
