#pragma once

#include "../../Core.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief The trace and span identifiers of a W3C traceparent header. */
struct TraceContext
{
  /** 32 lower-case hexadecimal digits. */
  std::string traceId_;
  /** 16 lower-case hexadecimal digits. */
  std::string spanId_;

  auto operator<=>(const TraceContext&) const = default;

  /** \brief The value of the traceparent header. */
  [[nodiscard]] auto ToHeader() const -> std::string
  {
    return "00-" + traceId_ + "-" + spanId_ + "-01";
  }
};

/** \brief Parses a traceparent header; nullopt if it is not valid. */
auto ParseTraceparent(const std::string& aHeader)
  -> std::optional<TraceContext>;

/** \brief Creates a child span of aParent, or the root span of a new trace if
 * there is no parent. */
auto MakeSpan(const std::optional<TraceContext>& aParent, RandomEngine& aRandom)
  -> TraceContext;

} // namespace goldcrestcroft
