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
 * would outlast that cause. So one engine at a time is asked; the first one
 * that responds, or is used again, shows that the cause may be gone, and then
 * each of the others is asked once, without a pause. */
class ServiceOutage
{
public:
  struct Options
  {
    /** Time between the end of a call and the next one. */
    Duration interval_ = std::chrono::milliseconds{ 200 };
    /** Minimum time between the calls of all hosts to one engine. */
    Duration engineInterval_ = std::chrono::milliseconds{ 10 };
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
  auto Update(const std::vector<Engine>& aEngines) -> void;
  /** \brief Whether all engines are silent. */
  [[nodiscard]] auto IsOut() const -> bool { return phase_ == Phase::Out; }
  /** \brief Whether there is nothing to ask. */
  [[nodiscard]] auto IsOver() const -> bool { return phase_ == Phase::None; }
  /** \brief The engine to ask now; none if there is none, or not yet. aHosts is
   * the number of hosts that may ask. */
  auto Next(const std::vector<Engine>& aEngines, std::size_t aHosts,
            TimePoint aNow) -> std::optional<std::string>;
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
  /** Engines that were not asked since the first one returned. */
  std::set<std::string> unasked_;
  /** The engine asked last during the outage. */
  std::string last_;
  std::optional<TimePoint> askedAt_;
};

} // namespace goldcrestcroft
