#pragma once

#include "ConfigVersion.h"

#include <map>

namespace goldcrestcroft {

/** \brief Keeps one host's configuration at the newest known version.
 *
 * Versions never go down. Numbers heard of (from the table's head or from
 * peers) raise the goal; patches from anywhere close the gap in order. After a
 * pause of the process the version counts as unconfirmed until a source newer
 * than the pause has confirmed it. */
class ConfigFollower
{
public:
  struct Options
  {
    /** Between head reads. */
    Duration headPeriod_ = std::chrono::seconds{ 1 };
    /** Between requests for the same missing patches. */
    Duration fetchPeriod_ = std::chrono::milliseconds{ 200 };
    /** A gap between ticks that counts as a pause of the process. */
    Duration pauseBound_ = std::chrono::seconds{ 2 };
    /** How many patches ahead of a gap are kept. */
    std::size_t maxAhead_ = 256;
  };

  /** \brief What the host should do next. */
  struct Actions
  {
    bool readHead_ = false;
    /** Fetch the patches after the version in force. */
    bool fetchPatches_ = false;

    auto operator<=>(const Actions&) const = default;
  };

  ConfigFollower(Options aOptions, TimePoint aNow);

  /** \brief Time passes. */
  auto Tick(TimePoint aNow) -> Actions;

  /** \brief A peer or the table's head says that this number exists. */
  auto OnNumberHeard(VersionNumber aNumber, TimePoint aNow) -> void;

  /** \brief A patch arrived. Returns whether a newer version came in force.
   * Patches that are already in force are ignored. */
  auto OnPatch(const ConfigPatch& aPatch, TimePoint aNow) -> bool;

  /** \brief A whole version arrived. Lower ones are ignored. */
  auto OnSnapshot(const ConfigVersionPtr& aVersion, TimePoint aNow) -> bool;

  [[nodiscard]] auto InForce() const -> const ConfigVersionPtr&
  {
    return inForce_;
  }
  [[nodiscard]] auto Goal() const -> VersionNumber { return goal_; }

  /** \brief Whether work may be admitted: a version is in force, nothing newer
   * is known, and no pause has put it in doubt. */
  [[nodiscard]] auto Confirmed() const -> bool
  {
    return confirmed_ && inForce_->Number() >= goal_;
  }

private:
  auto ApplyAhead() -> bool;

  Options options_;
  ConfigVersionPtr inForce_ = ConfigVersion::Initial();
  VersionNumber goal_ = 0;
  bool confirmed_ = false;
  std::map<VersionNumber, ConfigPatch> ahead_;
  TimePoint lastTick_;
  TimePoint nextHeadRead_;
  TimePoint nextFetch_;
};

} // namespace goldcrestcroft
