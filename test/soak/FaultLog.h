#pragma once

#include <goldcrestcroft/Core.h>

#include <string>
#include <vector>

namespace soak {

using goldcrestcroft::Duration;
using goldcrestcroft::TimePoint;

/** \brief Intervals in which parts of the deployment were subject to faults. */
class FaultLog
{
public:
  /** \brief Returns the index to pass to End. */
  auto Begin(const std::string& aPart, TimePoint aNow) -> std::size_t
  {
    spans_.push_back(
      { .part_ = aPart, .from_ = aNow, .to_ = TimePoint::max() });
    return spans_.size() - 1;
  }
  auto End(std::size_t aIndex, TimePoint aNow) -> void
  {
    spans_[aIndex].to_ = aNow;
  }
  /** \brief Whether a fault of one of the parts overlaps the time span. */
  [[nodiscard]] auto HasFault(const std::vector<std::string>& aParts,
                              TimePoint aFrom, TimePoint aTo) const -> bool
  {
    for (const auto& span : spans_) {
      const auto overlaps = span.from_ <= aTo && span.to_ >= aFrom;
      for (const auto& part : aParts) {
        if (overlaps && span.part_ == part) {
          return true;
        }
      }
    }
    return false;
  }

private:
  struct Span
  {
    std::string part_;
    TimePoint from_;
    TimePoint to_;
  };

  std::vector<Span> spans_;
};

/** Names of the parts in a FaultLog. */
inline auto HostPart(std::size_t aHost) -> std::string
{
  return "host " + std::to_string(aHost);
}
inline auto CallerLinkPart(std::size_t aHost) -> std::string
{
  return "caller link " + std::to_string(aHost);
}
inline auto StoreLinkPart(std::size_t aHost) -> std::string
{
  return "store link " + std::to_string(aHost);
}
inline auto StoreDoorPart(std::size_t aHost) -> std::string
{
  return "store door " + std::to_string(aHost);
}
inline auto StopPart(std::size_t aHost) -> std::string
{
  return "planned stop " + std::to_string(aHost);
}
inline auto EnginePart(const std::string& aEngine) -> std::string
{
  return "engine " + aEngine;
}
/** Intervals in which the engine or the link to it may abort requests. */
inline auto BreakPart(const std::string& aEngine) -> std::string
{
  return "break at " + aEngine;
}
inline constexpr auto kStorePart = "store";
/** Key of the link to a part, whose faults are counted separately from those of
 * the part. */
inline auto LinkOf(const std::string& aPart) -> std::string
{
  return "link to " + aPart;
}

} // namespace soak
