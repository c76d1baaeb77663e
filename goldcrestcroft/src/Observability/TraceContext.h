#pragma once

#include "../../Core.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief Where a span stands in a trace, as W3C traceparent carries it. */
struct TraceContext
{
  /** 32 lower-case hexadecimal digits. */
  std::string traceId_;
  /** 16 lower-case hexadecimal digits. */
  std::string spanId_;

  auto operator<=>(const TraceContext&) const = default;

  /** \brief The header value. */
  [[nodiscard]] auto ToHeader() const -> std::string
  {
    return "00-" + traceId_ + "-" + spanId_ + "-01";
  }
};

/** \brief Reads a traceparent header; none if it is not one. */
auto ParseTraceparent(const std::string& aHeader)
  -> std::optional<TraceContext>;

/** \brief A span below aParent, or of a new trace without one. */
auto MakeSpan(const std::optional<TraceContext>& aParent, RandomEngine& aRandom)
  -> TraceContext;

} // namespace goldcrestcroft
