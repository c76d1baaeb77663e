#pragma once

#include "../../Engines.h"

namespace goldcrestcroft {

/** \brief An EngineLimit as it is sent to peers; with its age, since hosts
 * share no clock. */
struct EngineLimitReport
{
  std::string engine_;
  std::uint64_t startedAt_ = 0;
  std::optional<double> perSecond_;
  Duration statedAgo_{};

  auto operator<=>(const EngineLimitReport&) const = default;
};

auto ToReport(const EngineLimit& aLimit, TimePoint aNow) -> EngineLimitReport;
auto FromReport(const EngineLimitReport& aReport, TimePoint aNow)
  -> EngineLimit;

/** \brief A request that is about to be sent to an engine with a rate limit. */
struct PermitRequest
{
  std::uint64_t number_ = 0;
  RateLimits limits_;
  Duration maxWait_{};
};

/** \brief Asks an owner of the engine's rate limit for a permit. */
struct PermitQuery
{
  std::uint64_t number_ = 0;
  /** Without a rate if the engine advertises none. */
  EngineLimitReport limit_;
  Duration maxWait_{};
  /** Requests per second while the engine warms up; none if it does not. */
  std::optional<double> warmUpPerSecond_;

  auto operator<=>(const PermitQuery&) const = default;
};

auto ToQuery(const PermitRequest& aRequest, TimePoint aNow) -> PermitQuery;
/** \brief The lowest rate that the query or the advertised limit that the owner
 * knows states; none if there is no limit. */
auto RateOf(const PermitQuery& aQuery, const std::optional<EngineLimit>& aKnown)
  -> std::optional<double>;

/** \brief Reply to the permit request or the permit query of the same
 * number. */
struct PermitReply
{
  std::uint64_t number_ = 0;
  Permit permit_;

  auto operator<=>(const PermitReply&) const = default;
};

} // namespace goldcrestcroft
