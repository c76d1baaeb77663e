#include "../Observability/Log.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

auto ControlPlane::AdoptEvacuations(const StoreReply& aReply,
                                    bool aIsWholeTable) -> bool
{
  std::vector<StoreRow> rows;
  for (const auto& row : aReply.rows_) {
    if (auto zone = codec_.EvacuatedZone(row.key_)) {
      rows.push_back(row);
      rows.back().key_ = std::move(*zone);
    }
  }
  const auto changed =
    aIsWholeTable ? evacuations_.ApplyTable(rows, aReply.version_, clock_.Now())
                  : evacuations_.Apply(std::move(rows));
  if (changed) {
    PublishEvacuations("store");
  }
  return changed;
}

auto ControlPlane::PublishEvacuations(const std::string& aSource) -> void
{
  const auto zones = evacuations_.Zones();
  const auto logChange = [&](const std::string& aZone, const char* aEvent) {
    metrics_.Count(aEvent);
    Log::Write(LogLevel::Warning, aEvent,
               { { "zone", aZone },
                 { "source", aSource },
                 { "version", ToString(evacuations_.Version()) },
                 { "age_ms", std::to_string(ToMilliseconds(
                               AgeOf(StoreTable::Configuration))) } });
  };
  for (const auto& zone : zones) {
    if (!evacuatedZones_.contains(zone)) {
      logChange(zone, "zone_evacuated");
    }
  }
  for (const auto& zone : evacuatedZones_) {
    if (!zones.contains(zone)) {
      logChange(zone, "zone_evacuation_ended");
    }
  }
  evacuatedZones_ = zones;
  // A host is ready once it has a list of engines, so that none may be
  // published before one is known.
  if (!engineStates_.empty()) {
    PublishEngines();
  }
}

} // namespace goldcrestcroft
