#pragma once

#include "../../Routing.h"
#include "MetadataStore.h"

#include <functional>
#include <map>

namespace goldcrestcroft {

/** \brief The engines' entries in the store, as this host knows them.
 *
 * Rows are only replaced by newer ones, from the store or from a peer. An entry
 * that disappears shortly after a store failure may have expired only because
 * its engine could not renew it. It stays in use for a short time, since a live
 * engine registers again within that time.
 *
 * A store that was restored from an older copy lists engines as they were when
 * the copy was made. An engine that is known to drain, to be gone or to have
 * restarted since then stays so. All rows of an era are known once the complete
 * table was read in it, from the store or from a peer.
 *
 * A row that describes no engine comes from another writer. It is treated as
 * the removal of its key, whatever it contains. */
class EngineRegistry
{
public:
  using Decode = std::function<Result<EngineEntry>(const std::string& aId,
                                                   const std::string& aText)>;
  struct Options
  {
    Decode decode_;
    /** Live engines whose entries expired during a store outage are registered
     * again within two seconds of its return; the rest is for the propagation
     * of the change. */
    Duration holdAfterFailure_ = std::chrono::milliseconds{ 2200 };
    /** Removals are kept this long for peers that lag behind. */
    Duration removalRetention_ = std::chrono::seconds{ 60 };
    /** How long an engine that is gone is not used although a restored store
     * lists it. The store removes the entries of engines that are silent for
     * three of their heartbeat intervals. */
    Duration restoredEntryDelay_ = std::chrono::seconds{ 10 };
  };

  explicit EngineRegistry(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /** \brief Applies changes, in order, except those of an era whose complete
   * table is not known. Returns whether any was new and may concern an engine.
   */
  auto Apply(const std::vector<StoreRow>& aRows, TimePoint aNow) -> bool;
  /** \brief Applies the complete table as of aVersion: entries that are not in
   * it are removed. Returns whether anything changed. */
  auto ApplyAll(const std::vector<StoreRow>& aRows,
                const StoreVersion& aVersion, TimePoint aNow) -> bool;
  /** \brief Whether the row of a complete table is needed by ApplyAll: it
   * describes an engine, or replaces the entry of one, and then its value is
   * cleared. */
  [[nodiscard]] auto Retain(StoreRow& aRow, TimePoint aNow) -> bool;
  /** \brief A call to the store failed at this time. */
  auto OnStoreFailure(TimePoint aNow) -> void { storeFailedAt_ = aNow; }
  /** \brief Removes held entries, and uses restored ones, whose time has
   * expired; returns whether there were any. */
  auto Tick(TimePoint aNow) -> bool;

  /** \brief Version of the newest known change; all changes before it are
   * known. */
  [[nodiscard]] auto Version() const -> StoreVersion { return version_; }
  /** \brief The newer rows. They are the complete table if aVersion is of an
   * earlier era than Version(). */
  [[nodiscard]] auto RowsAfter(const StoreVersion& aVersion) const
    -> std::vector<StoreRow>;
  [[nodiscard]] auto Engines() const -> std::vector<EngineEntry>;
  /** \brief Number of entries read so far that could not be decoded. */
  [[nodiscard]] auto UnreadableEntries() const -> std::size_t
  {
    return unreadable_;
  }

private:
  struct Entry
  {
    StoreRow row_;
    std::optional<EngineEntry> engine_;
    TimePoint removedAt_;
    /** Until when the entry stays in use although it was removed. */
    std::optional<TimePoint> heldUntil_;
    /** The engine as last listed, kept when the entry is removed, and the
     * number of that row. */
    std::optional<EngineEntry> last_;
    std::uint64_t lastNumber_ = 0;
    /** An engine that was gone, as a restored store lists it, and when it is
     * used if the store still does. */
    std::optional<EngineEntry> restored_;
    std::optional<TimePoint> usedFrom_;

    [[nodiscard]] auto IsGone() const -> bool
    {
      return row_.removed_ || usedFrom_;
    }
  };

  /** \brief A key that was removed without having had an entry. */
  struct Removal
  {
    StoreVersion version_;
    TimePoint removedAt_;
  };

  auto Adopt(const StoreRow& aRow, TimePoint aNow) -> bool;
  [[nodiscard]] auto VersionOf(const std::string& aKey) const -> StoreVersion;
  auto Remove(Entry& aEntry, const StoreVersion& aVersion, TimePoint aNow)
    -> void;
  auto DecodeRow(const StoreRow& aRow, TimePoint aNow)
    -> std::optional<EngineEntry>;
  /** \brief Handles a row of a later era, which may be older than what is known
   * of the engine. Returns whether that remains in use. */
  [[nodiscard]] auto AdoptRestored(Entry& aEntry, const StoreRow& aRow,
                                   EngineEntry& aEngine, TimePoint aNow) const
    -> bool;

  Options options_;
  /** Keys that have described an engine. */
  std::map<std::string, Entry> entries_;
  /** Other keys, as long as peers may lag behind their removal. */
  std::map<std::string, Removal> removals_;
  StoreVersion version_;
  /** Version of the last complete table that was applied. */
  StoreVersion completeTo_;
  std::size_t unreadable_ = 0;
  std::optional<TimePoint> storeFailedAt_;
};

} // namespace goldcrestcroft
