#pragma once

#include "../../Core.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief An availability zone whose engines are to receive nothing new. */
struct Evacuation
{
  std::string zone_;
  /** Version of the row that requests it. */
  StoreVersion version_;

  auto operator<=>(const Evacuation&) const = default;
};

/** \brief The evacuated availability zones, as this host knows them.
 *
 * They are rows of the store, which hosts read or receive from peers as a
 * complete list. A row that a host learned from the store may be older than the
 * complete table that another host has read: the version up to which this host
 * knows the complete table decides.
 *
 * A store that was restored from an older copy may lack an evacuation that the
 * operator requests again soon, so that known ones stay in force for a while.
 */
class EvacuationView
{
public:
  struct Options
  {
    /** How long a known evacuation that a restored store does not list stays
     * in force. */
    Duration restoredRowDelay_ = std::chrono::seconds{ 10 };
  };

  EvacuationView()
    : EvacuationView(Options{})
  {
  }
  explicit EvacuationView(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Applies the changes of one reply of the store, whose keys are
   * zones. Returns whether the evacuated zones changed. */
  auto Apply(std::vector<StoreRow> aRows) -> bool;
  /** \brief Applies the complete table of the store as of aVersion, its keys
   * being zones. Returns whether the evacuated zones changed. */
  auto ApplyTable(const std::vector<StoreRow>& aRows,
                  const StoreVersion& aVersion, TimePoint aNow) -> bool;
  /** \brief Applies all evacuations that a peer knows, as of aVersion, the
   * version of the peer. Returns whether the evacuated zones changed. */
  auto ApplyPeer(const std::vector<Evacuation>& aEvacuations,
                 const StoreVersion& aVersion, TimePoint aNow) -> bool;
  /** \brief Call with the version that a peer reports. Returns whether the peer
   * has to be asked for its evacuations. */
  [[nodiscard]] auto IsBehind(const StoreVersion& aVersion) const -> bool
  {
    return aVersion > version_;
  }
  /** \brief Ends evacuations that a restored store did not list again in time;
   * returns whether there were any. */
  auto Tick(TimePoint aNow) -> bool;

  /** \brief Version of the latest known change. */
  [[nodiscard]] auto Version() const -> StoreVersion { return version_; }
  /** \brief All evacuations that the store lists. */
  [[nodiscard]] auto Evacuations() const -> std::vector<Evacuation>;
  /** \brief Zones that are to receive nothing new. */
  [[nodiscard]] auto Zones() const -> std::set<std::string>;

private:
  auto Replace(std::map<std::string, StoreVersion> aListed,
               const StoreVersion& aVersion, TimePoint aNow) -> bool;

  Options options_;
  std::map<std::string, StoreVersion> listed_;
  /** Zones that a restored store does not list, with the time until which they
   * stay evacuated. */
  std::map<std::string, TimePoint> held_;
  StoreVersion version_;
  /** Version of the latest complete table that this host has read. */
  StoreVersion tableVersion_;
};

} // namespace goldcrestcroft
