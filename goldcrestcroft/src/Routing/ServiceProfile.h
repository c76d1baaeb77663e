#pragma once

#include "../../Core.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief Capacity and timing of one engine of a stage service. */
struct StageProfile
{
  std::size_t slots_ = 1;
  std::size_t queue_ = 0;
  /** Maximum number of pieces per call. */
  std::size_t batch_ = 1;
  Duration callTime_{};
  Duration pieceTime_{};
  /** Result memory in bytes. */
  double headroomBytes_ = 0.0;
  /** Retention time of a result after the end of its call. */
  Duration keepFor_{};

  auto operator<=>(const StageProfile&) const = default;
};

/** \brief Capacity of one engine of a generation service. */
struct GenerationProfile
{
  std::size_t slots_ = 1;
  /** Tokens that fit in its memory. */
  double memoryTokens_ = 0.0;

  auto operator<=>(const GenerationProfile&) const = default;
};

/** \brief A service of the configuration. */
struct ServiceProfile
{
  std::string name_;
  std::string healthPath_ = "/";
  /** Connections that one engine accepts from all callers. */
  std::size_t maxConnections_ = 64;
  /** Requests per second from all hosts together that an engine tolerates while
   * it warms up; none if there is no such limit. */
  std::optional<double> warmUpPerSecond_;
  std::optional<StageProfile> stage_;
  std::optional<GenerationProfile> generation_;

  auto operator<=>(const ServiceProfile&) const = default;
};

} // namespace goldcrestcroft
