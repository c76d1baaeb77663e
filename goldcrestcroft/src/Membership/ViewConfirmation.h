#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"

#include <algorithm>
#include <chrono>

namespace goldcrestcroft {

/** \brief Decides whether a host's view of the configuration is recent enough
 * for callers to be sent to it.
 *
 * A view is confirmed by the store, or by a peer that has no later
 * configuration, even if that peer does not reach the store either: an outage
 * of the store alone makes no host unready. A host that reaches nobody, or
 * hears of a later configuration that it cannot get, has no confirmation.
 * Single-threaded. */
class ViewConfirmation
{
public:
  struct Options
  {
    /** Time within which a change has to be in force at every host. */
    Duration propagationTarget_ = std::chrono::seconds{ 3 };
    /** Time by which an unstable store may delay a change beyond that. */
    Duration storeDelay_ = std::chrono::seconds{ 6 };
  };

  ViewConfirmation(Options aOptions, TimePoint aNow)
    : options_(aOptions)
    , confirmedAt_(aNow)
  {
  }

  /** \brief The store contained nothing later at aAsOf. */
  auto OnStore(TimePoint aAsOf) -> void
  {
    confirmedAt_ = std::max(confirmedAt_, aAsOf);
  }
  /** \brief A peer was heard that has the configuration aPeer, while this host
   * has aOwn; 0 means none. */
  auto OnPeer(VersionNumber aPeer, VersionNumber aOwn, TimePoint aNow) -> void
  {
    latest_ = std::max(latest_, aPeer);
    if (aPeer != 0 && latest_ <= std::max(aOwn, unreadable_)) {
      confirmedAt_ = std::max(confirmedAt_, aNow);
    }
  }
  /** \brief A peer's configuration could not be read. The host keeps its own
   * and remains ready, as when the store contains such a configuration. */
  auto OnUnreadable() -> void { unreadable_ = latest_; }

  [[nodiscard]] auto IsRecent(TimePoint aNow) const -> bool
  {
    return Age(aNow) < options_.propagationTarget_ + options_.storeDelay_;
  }
  /** \brief Time since the last confirmation. */
  [[nodiscard]] auto Age(TimePoint aNow) const -> Duration
  {
    return aNow - confirmedAt_;
  }
  /** \brief The latest version that a peer reported. */
  [[nodiscard]] auto Latest() const -> VersionNumber { return latest_; }

private:
  Options options_;
  TimePoint confirmedAt_;
  VersionNumber latest_ = 0;
  VersionNumber unreadable_ = 0;
};

} // namespace goldcrestcroft
