#pragma once

#include "ConfigVersion.h"

#include <map>

namespace goldcrestcroft {

/** \brief Keeps one host's configuration at the newest known version.
 *
 * The version in force never decreases. Version numbers received from the
 * table's head row or from peers raise the newest known version; patches from
 * any source are applied in order until it is reached. After a pause of the
 * process the version is unconfirmed until a peer or the table advertises a
 * version number after the first Tick that follows the pause. */
class ConfigFollower
{
public:
  struct Options
  {
    /** Interval between reads of the table's head row. */
    Duration headPeriod_ = std::chrono::seconds{ 1 };
    /** Minimum interval between fetches of missing patches. */
    Duration fetchPeriod_ = std::chrono::milliseconds{ 200 };
    /** A longer gap between ticks counts as a pause of the process. */
    Duration maxTickGap_ = std::chrono::seconds{ 2 };
    /** Maximum number of patches kept until their predecessors arrive. */
    std::size_t maxPending_ = 256;
  };

  /** \brief The reads that the host has to start now. */
  struct Actions
  {
    bool readHead_ = false;
    /** Fetch the patches after the version in force. */
    bool fetchPatches_ = false;

    auto operator<=>(const Actions&) const = default;
  };

  ConfigFollower(Options aOptions, TimePoint aNow);

  /** \brief Detects pauses and returns the reads that are due. To be called
   * periodically. */
  auto Tick(TimePoint aNow) -> Actions;

  /** \brief A peer or the table's head row advertised this version number. */
  auto OnVersionAdvertised(VersionNumber aNumber, TimePoint aNow) -> void;

  /** \brief A patch was received. Returns whether a newer version is now in
   * force. Patches that are already in force are ignored. */
  auto OnPatch(const ConfigPatch& aPatch, TimePoint aNow) -> bool;

  /** \brief A complete version was received. Returns whether a newer version
   * is now in force; a version that is not newer is ignored. */
  auto OnSnapshot(const ConfigVersionPtr& aVersion, TimePoint aNow) -> bool;

  [[nodiscard]] auto InForce() const -> const ConfigVersionPtr&
  {
    return inForce_;
  }
  [[nodiscard]] auto NewestKnown() const -> VersionNumber
  {
    return newestKnown_;
  }

  /** \brief Whether work may be admitted: the version in force is the newest
   * known one and was confirmed since the last pause of the process. */
  [[nodiscard]] auto Confirmed() const -> bool
  {
    return confirmed_ && inForce_->Number() >= newestKnown_;
  }

private:
  auto ApplyPending() -> bool;

  Options options_;
  ConfigVersionPtr inForce_ = ConfigVersion::Initial();
  VersionNumber newestKnown_ = 0;
  bool confirmed_ = false;
  std::map<VersionNumber, ConfigPatch> pending_;
  TimePoint lastTick_;
  TimePoint nextHeadRead_;
  TimePoint nextFetch_;
};

} // namespace goldcrestcroft
