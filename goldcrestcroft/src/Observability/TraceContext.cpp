#include "TraceContext.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

auto IsHex(std::string_view aText) -> bool
{
  return std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
}

auto IsZero(std::string_view aText) -> bool
{
  return aText.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

auto ParseTraceparent(const std::string& aHeader) -> std::optional<TraceContext>
{
  constexpr std::size_t kLength = 55;
  if (aHeader.size() != kLength || !aHeader.starts_with("00-") ||
      aHeader[35] != '-' || aHeader[52] != '-') {
    return std::nullopt;
  }
  TraceContext context{ .traceId_ = aHeader.substr(3, 32),
                        .spanId_ = aHeader.substr(36, 16) };
  if (!IsHex(context.traceId_) || !IsHex(context.spanId_) ||
      IsZero(context.traceId_) || IsZero(context.spanId_)) {
    return std::nullopt;
  }
  return context;
}

auto MakeSpan(const std::optional<TraceContext>& aParent, RandomEngine& aRandom)
  -> TraceContext
{
  // W3C Trace Context forbids identifiers that are all zeros.
  return { .traceId_ = aParent ? aParent->traceId_
                               : ToHex(aRandom() | 1U) + ToHex(aRandom()),
           .spanId_ = ToHex(aRandom() | 1U) };
}

} // namespace goldcrestcroft
