#pragma once

#include "../../Core.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Whether requests of a route may be retried. */
enum class RouteKind
{
  /** Idempotent: may run more than once. */
  Safe,
  /** Runs at most once for each caller's attempt. */
  Unsafe,
  /** A stream of events; idempotent only where it may be resumed. */
  Streaming
};

/** \brief One service that receives a fraction of a route's requests. */
struct SplitTarget
{
  std::string service_;
  double weight_ = 1.0;

  auto operator<=>(const SplitTarget&) const = default;
};

/** \brief A stage that runs before the request itself. */
struct RouteStage
{
  std::string service_;
  /** Indices of the stages whose results this one needs. */
  std::vector<std::size_t> after_;
  /** Approximate size of one result, in bytes. */
  double resultBytes_ = 0.0;

  auto operator<=>(const RouteStage&) const = default;
};

/** \brief One entry of the operator's route table. */
struct Route
{
  std::string name_;
  std::string host_;
  /** Begins and ends with a slash. */
  std::string prefix_;
  RouteKind kind_ = RouteKind::Unsafe;
  Duration timeout_ = std::chrono::seconds{ 10 };
  /** Latency objective: responses within this time count in full. */
  Duration objective_ = std::chrono::seconds{ 1 };
  /** 0 is the most urgent. */
  int rank_ = 0;
  std::vector<SplitTarget> split_;
  /** Maximum number of engines that one attempt of a caller is sent to. */
  std::size_t maxAttempts_ = 1;
  std::vector<RouteStage> stages_;
  bool anonymous_ = false;
  bool cachesPrompt_ = false;
  bool resumable_ = false;
  std::optional<Duration> gapObjective_;

  auto operator<=>(const Route&) const = default;

  /** \brief Whether a request may run more than once. */
  [[nodiscard]] auto IsIdempotent() const -> bool
  {
    return kind_ == RouteKind::Safe ||
           (kind_ == RouteKind::Streaming && resumable_);
  }
};

} // namespace goldcrestcroft
