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
 * engine registers again within that time. */
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
  };

  explicit EngineRegistry(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /** \brief Applies changes, in order. Returns whether any was new. */
  auto Apply(const std::vector<StoreRow>& aRows, TimePoint aNow) -> bool;
  /** \brief Applies the complete table as of aVersion: entries that are not in
   * it are removed. Returns whether anything changed. */
  auto ApplyAll(const std::vector<StoreRow>& aRows, std::uint64_t aVersion,
                TimePoint aNow) -> bool;
  /** \brief A call to the store failed at this time. */
  auto OnStoreFailure(TimePoint aNow) -> void { storeFailedAt_ = aNow; }
  /** \brief Removes held entries whose time has expired; returns whether there
   * were any. */
  auto Tick(TimePoint aNow) -> bool;

  /** \brief Version of the newest known change; all changes before it are
   * known. */
  [[nodiscard]] auto Version() const -> std::uint64_t { return version_; }
  [[nodiscard]] auto RowsAfter(std::uint64_t aVersion) const
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
  };

  auto Adopt(const StoreRow& aRow, TimePoint aNow) -> bool;
  auto Remove(Entry& aEntry, std::uint64_t aVersion, TimePoint aNow) -> void;

  Options options_;
  std::map<std::string, Entry> entries_;
  std::uint64_t version_ = 0;
  std::size_t unreadable_ = 0;
  std::optional<TimePoint> storeFailedAt_;
};

} // namespace goldcrestcroft
