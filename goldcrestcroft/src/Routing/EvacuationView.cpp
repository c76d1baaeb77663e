#include "EvacuationView.h"

#include <algorithm>

namespace goldcrestcroft {

auto EvacuationView::Zones() const -> std::set<std::string>
{
  std::set<std::string> zones;
  for (const auto& [zone, version] : listed_) {
    zones.insert(zone);
  }
  for (const auto& [zone, until] : held_) {
    zones.insert(zone);
  }
  return zones;
}

auto EvacuationView::Evacuations() const -> std::vector<Evacuation>
{
  std::vector<Evacuation> evacuations;
  for (const auto& [zone, version] : listed_) {
    evacuations.push_back({ .zone_ = zone, .version_ = version });
  }
  return evacuations;
}

auto EvacuationView::Apply(std::vector<StoreRow> aRows) -> bool
{
  const auto before = Zones();
  const auto known = std::max(version_, tableVersion_);
  // Rows of one transaction have the same version.
  std::stable_sort(aRows.begin(), aRows.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.version_ < aRight.version_;
                   });
  for (const auto& row : aRows) {
    if (row.version_ <= known) {
      continue;
    }
    version_ = row.version_;
    held_.erase(row.key_);
    if (row.removed_) {
      listed_.erase(row.key_);
    } else {
      listed_[row.key_] = row.version_;
    }
  }
  return Zones() != before;
}

auto EvacuationView::Replace(std::map<std::string, StoreVersion> aListed,
                             const StoreVersion& aVersion, TimePoint aNow)
  -> bool
{
  const auto before = Zones();
  const auto isRestored =
    version_ != StoreVersion{} && aVersion.era_ > version_.era_;
  for (const auto& [zone, version] : listed_) {
    if (isRestored && !aListed.contains(zone)) {
      held_.emplace(zone, aNow + options_.restoredRowDelay_);
    }
  }
  for (const auto& [zone, version] : aListed) {
    held_.erase(zone);
  }
  listed_ = std::move(aListed);
  version_ = aVersion;
  return Zones() != before;
}

auto EvacuationView::ApplyTable(const std::vector<StoreRow>& aRows,
                                const StoreVersion& aVersion, TimePoint aNow)
  -> bool
{
  if (aVersion < std::max(version_, tableVersion_)) {
    return false;
  }
  std::map<std::string, StoreVersion> listed;
  StoreVersion newest{ .era_ = aVersion.era_ };
  for (const auto& row : aRows) {
    listed[row.key_] = row.version_;
    newest = std::max(newest, row.version_);
  }
  tableVersion_ = aVersion;
  // The version of a removal is not in the table; it is at most that of the
  // table. Without a removal the version stays that of the newest row, so that
  // a host that starts does not cause others to ask it.
  const auto isRemoval =
    std::any_of(listed_.begin(), listed_.end(), [&](const auto& aKnown) {
      return !listed.contains(aKnown.first);
    });
  const auto isOlder = newest < version_ && newest.era_ == version_.era_;
  return Replace(std::move(listed), isRemoval || isOlder ? aVersion : newest,
                 aNow);
}

auto EvacuationView::ApplyPeer(const std::vector<Evacuation>& aEvacuations,
                               const StoreVersion& aVersion, TimePoint aNow)
  -> bool
{
  if (!IsBehind(aVersion)) {
    return false;
  }
  std::map<std::string, StoreVersion> listed;
  for (const auto& evacuation : aEvacuations) {
    listed[evacuation.zone_] = evacuation.version_;
  }
  if (aVersion <= tableVersion_) {
    // This host has read the table since. If the peer lists something else, it
    // lacks a change, and learns of it when it sees a later version here.
    version_ = listed == listed_ ? aVersion : tableVersion_;
    return false;
  }
  return Replace(std::move(listed), aVersion, aNow);
}

auto EvacuationView::Tick(TimePoint aNow) -> bool
{
  return std::erase_if(
           held_, [&](const auto& aItem) { return aItem.second <= aNow; }) > 0;
}

} // namespace goldcrestcroft
