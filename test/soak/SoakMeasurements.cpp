#include "SoakMeasurements.h"

#include <fstream>

namespace soak {

auto ShareServed(const std::vector<CallRecord>& aCalls, std::size_t aFrom)
  -> double
{
  auto served = 0.0;
  auto requested = 0.0;
  for (auto i = aFrom; i < aCalls.size(); ++i) {
    const auto counted = !aCalls[i].abandoned_ &&
                         aCalls[i].kind_ != CallKind::OldKey &&
                         aCalls[i].kind_ != CallKind::Poison &&
                         aCalls[i].kind_ != CallKind::CrashingPart;
    requested += counted ? 1.0 : 0.0;
    served += counted && aCalls[i].IsServed() ? 1.0 : 0.0;
  }
  return requested > 0.0 ? served / requested : 0.0;
}

auto MegabytesOf(pid_t aProcess) -> double
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  auto total = 0.0;
  auto resident = 0.0;
  constexpr auto kPage = 4096.0;
  file >> total >> resident;
  return resident * kPage / 1e6;
}

} // namespace soak
