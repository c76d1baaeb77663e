#include "EngineRegistry.h"

#include <set>

namespace goldcrestcroft {

auto EngineRegistry::Remove(Entry& aEntry, const StoreVersion& aVersion,
                            TimePoint aNow) -> void
{
  aEntry.usedFrom_.reset();
  aEntry.row_.removed_ = true;
  aEntry.row_.version_ = aVersion;
  aEntry.removedAt_ = aNow;
  const auto holdUntil =
    storeFailedAt_ ? *storeFailedAt_ + options_.holdAfterFailure_ : aNow;
  if (holdUntil > aNow && aEntry.engine_) {
    aEntry.heldUntil_ = holdUntil;
  } else {
    aEntry.engine_.reset();
    aEntry.heldUntil_.reset();
  }
}

auto EngineRegistry::DecodeRow(const StoreRow& aRow, TimePoint aNow)
  -> std::optional<EngineEntry>
{
  return Handle(
    [&]() -> Result<std::optional<EngineEntry>> {
      BOOST_LEAF_AUTO(engine, options_.decode_(aRow.key_, aRow.value_));
      engine.coldUntil_ = aNow + engine.warmUpLeft_;
      return std::optional(std::move(engine));
    },
    [&](const Error&) -> std::optional<EngineEntry> {
      ++unreadable_;
      return std::nullopt;
    });
}

auto EngineRegistry::AdoptRestored(Entry& aEntry, const StoreRow& aRow,
                                   EngineEntry& aEngine, TimePoint aNow) const
  -> bool
{
  const auto& last = *aEntry.last_;
  const auto isSame = aEngine.startedAt_ == last.startedAt_;
  const auto isEarlier = aEngine.startedAt_ < last.startedAt_;
  aEngine.draining_ |= isSame && last.draining_;
  if (!aEntry.IsGone()) {
    const auto isKept = isEarlier || (isSame && last.draining_);
    if (isKept) {
      aEntry.row_.version_ = aRow.version_;
    }
    return isKept;
  }
  // Numbers up to the last known one may be those of the copy. Higher ones were
  // assigned later.
  if (isEarlier || (isSame && aRow.version_.number_ <= aEntry.lastNumber_)) {
    aEntry.row_ = aRow;
    aEntry.restored_ = aEngine;
    aEntry.usedFrom_ = aNow + options_.restoredEntryDelay_;
    return true;
  }
  return false;
}

auto EngineRegistry::VersionOf(const std::string& aKey) const -> StoreVersion
{
  if (const auto entry = entries_.find(aKey); entry != entries_.end()) {
    return entry->second.row_.version_;
  }
  const auto removal = removals_.find(aKey);
  return removal == removals_.end() ? StoreVersion{} : removal->second.version_;
}

auto EngineRegistry::Retain(StoreRow& aRow, TimePoint aNow) -> bool
{
  if (DecodeRow(aRow, aNow)) {
    return true;
  }
  aRow.value_.clear();
  return entries_.contains(aRow.key_);
}

auto EngineRegistry::Adopt(const StoreRow& aRow, TimePoint aNow) -> bool
{
  if (aRow.version_ <= VersionOf(aRow.key_)) {
    return false;
  }
  const auto known = entries_.find(aRow.key_);
  if (aRow.removed_ && known != entries_.end()) {
    Remove(known->second, aRow.version_, aNow);
    return true;
  }
  auto engine = aRow.removed_ ? std::nullopt : DecodeRow(aRow, aNow);
  if (!engine && known == entries_.end()) {
    removals_[aRow.key_] = { .version_ = aRow.version_, .removedAt_ = aNow };
    return aRow.removed_;
  }
  removals_.erase(aRow.key_);
  auto& entry = entries_[aRow.key_];
  const auto isOtherEra = aRow.version_.era_ != entry.row_.version_.era_;
  if (isOtherEra && engine && entry.last_ &&
      AdoptRestored(entry, aRow, *engine, aNow)) {
    return true;
  }
  entry.row_ = aRow;
  if (!engine) {
    entry.row_.value_.clear();
  }
  entry.last_ = engine;
  entry.lastNumber_ = aRow.version_.number_;
  entry.heldUntil_.reset();
  entry.usedFrom_.reset();
  entry.engine_ = std::move(engine);
  return true;
}

auto EngineRegistry::Apply(const std::vector<StoreRow>& aRows, TimePoint aNow)
  -> bool
{
  auto changed = false;
  const auto knownTo = std::max(version_, completeTo_);
  for (const auto& row : aRows) {
    // A peer that lags behind may list an engine whose removal is forgotten.
    const auto isObsolete =
      row.version_ <= knownTo && VersionOf(row.key_) == StoreVersion{};
    if (row.version_.era_ <= version_.era_ && !isObsolete) {
      changed |= Adopt(row, aNow);
      version_ = std::max(version_, row.version_);
    }
  }
  return changed;
}

auto EngineRegistry::ApplyAll(const std::vector<StoreRow>& aRows,
                              const StoreVersion& aVersion, TimePoint aNow)
  -> bool
{
  if (aVersion < version_) {
    return false;
  }
  std::set<std::string> present;
  for (const auto& row : aRows) {
    present.insert(row.key_);
  }
  auto changed = aVersion.era_ > version_.era_;
  if (changed) {
    version_ = { .era_ = aVersion.era_ };
  }
  for (auto& [key, entry] : entries_) {
    if (!entry.row_.removed_ && !present.contains(key)) {
      Remove(entry, aVersion, aNow);
      version_ = aVersion;
      changed = true;
    }
  }
  for (const auto& row : aRows) {
    changed |= Adopt(row, aNow);
    // A row of a later page may be newer than changes to earlier pages that are
    // not known yet.
    version_ = std::max(version_, std::min(row.version_, aVersion));
  }
  completeTo_ = aVersion;
  return changed;
}

auto EngineRegistry::Tick(TimePoint aNow) -> bool
{
  auto changed = false;
  for (auto& [key, entry] : entries_) {
    if (entry.heldUntil_ && *entry.heldUntil_ <= aNow) {
      entry.heldUntil_.reset();
      entry.engine_.reset();
      changed = true;
    }
    if (entry.usedFrom_ && *entry.usedFrom_ <= aNow) {
      entry.usedFrom_.reset();
      entry.heldUntil_.reset();
      entry.engine_ = entry.last_ = std::move(entry.restored_);
      changed = true;
    }
  }
  std::erase_if(entries_, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return entry.row_.removed_ && !entry.heldUntil_ &&
           aNow - entry.removedAt_ >= options_.removalRetention_;
  });
  std::erase_if(removals_, [&](const auto& aItem) {
    return aNow - aItem.second.removedAt_ >= options_.removalRetention_;
  });
  return changed;
}

auto EngineRegistry::RowsAfter(const StoreVersion& aVersion) const
  -> std::vector<StoreRow>
{
  std::vector<StoreRow> rows;
  for (const auto& [key, entry] : entries_) {
    if (entry.row_.version_ > aVersion) {
      rows.push_back(entry.row_);
    }
  }
  for (const auto& [key, removal] : removals_) {
    if (removal.version_ > aVersion) {
      rows.push_back(
        { .key_ = key, .version_ = removal.version_, .removed_ = true });
    }
  }
  return rows;
}

auto EngineRegistry::Engines() const -> std::vector<EngineEntry>
{
  std::vector<EngineEntry> engines;
  for (const auto& [key, entry] : entries_) {
    if (entry.engine_) {
      engines.push_back(*entry.engine_);
    }
  }
  return engines;
}

} // namespace goldcrestcroft
