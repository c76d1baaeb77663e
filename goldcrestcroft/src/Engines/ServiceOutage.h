#pragma once

#include "../../Core.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Decides which engines of a service are asked for their health after
 * all of them have fallen silent.
 *
 * Engines that fall silent together have a cause in common, such as this host's
 * link, and return together. Their suspensions, which grow with each failure,
 * would outlast that cause. So the engines are asked, one at a time and in
 * turn. Once one has returned, each of the others is asked in quick succession,
 * and those that are still silent in turn for some time. */
class ServiceOutage
{
public:
  struct Options
  {
    /** Time between the end of a call and the next one. */
    Duration interval_ = std::chrono::milliseconds{ 200 };
    /** Minimum time between the calls of all hosts to one engine. */
    Duration engineInterval_ = std::chrono::milliseconds{ 10 };
    /** How long engines that are still silent are asked after the first one has
     * returned. */
    Duration returnTime_ = std::chrono::seconds{ 30 };
    /** Position of this host among those that ask, in [0, 1): spreads their
     * calls over time and engines. */
    double position_ = 0.0;
  };

  /** \brief An engine of the service. */
  struct Engine
  {
    std::string id_;
    /** It was suspended since it did not respond. */
    bool silent_ = false;
    /** It may be sent calls now. */
    bool mayReceive_ = true;

    auto operator<=>(const Engine&) const = default;
  };

  ServiceOutage()
    : ServiceOutage(Options{})
  {
  }
  explicit ServiceOutage(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Updates the state from the service's engines. */
  auto Update(const std::vector<Engine>& aEngines, TimePoint aNow) -> void;
  /** \brief Whether all engines that may be sent calls are silent. */
  [[nodiscard]] auto IsOut() const -> bool { return phase_ == Phase::Out; }
  /** \brief Whether there is nothing to ask. */
  [[nodiscard]] auto IsOver() const -> bool { return phase_ == Phase::None; }
  /** \brief The engine to ask now; none if there is none, or not yet. aHosts is
   * the number of hosts that may ask. */
  [[nodiscard]] auto Next(const std::vector<Engine>& aEngines,
                          std::size_t aHosts, TimePoint aNow) const
    -> std::optional<std::string>;
  /** \brief The call to the engine ended, with or without a response. */
  auto OnAsked(const std::string& aEngine, TimePoint aNow) -> void;

private:
  enum class Phase
  {
    None,
    Out,
    /** An engine has returned; the others are asked. */
    Returning
  };

  Options options_;
  Phase phase_ = Phase::None;
  TimePoint returnedAt_;
  /** Engines that were not asked since the first one returned. */
  std::set<std::string> unasked_;
  /** The engine asked last, also in an earlier outage. */
  std::string last_;
  std::optional<TimePoint> askedAt_;
};

} // namespace goldcrestcroft
