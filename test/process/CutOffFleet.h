#pragma once

#include "EntryFleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace testing {

/** \brief What happens to new connections of a host that is cut off from all
 * engines. */
enum class CutKind
{
  Refuse,
  Hang
};

/** \brief Entry hosts of which the first ones can be cut off from all engines
 * while they reach the store, their callers and each other. */
class CutOffFleet
{
public:
  CutOffFleet(std::size_t aHosts, std::size_t aCuttable, CutKind aKind)
    : fleet_(aHosts)
  {
    setenv("ENGINE_CUT", File().c_str(), 1);
    setenv("LD_PRELOAD", ENGINE_CUT_LIBRARY, 1);
    if (aKind == CutKind::Hang) {
      setenv("ENGINE_CUT_HANGS", "1", 1);
    }
    for (std::size_t i = 0; i < aCuttable; ++i) {
      fleet_.ProcessOf(i).Kill();
      fleet_.Start(i);
    }
    unsetenv("ENGINE_CUT_HANGS");
    unsetenv("LD_PRELOAD");
    unsetenv("ENGINE_CUT");
  }

  auto Fleet() -> EntryFleet& { return fleet_; }
  /** \brief Whether all hosts are ready, know each other and serve. */
  auto AwaitServing(std::size_t aHosts) -> bool
  {
    auto serving = fleet_.AwaitDiscovery();
    for (std::size_t i = 0; i < aHosts; ++i) {
      serving = serving && fleet_.AwaitReady(i) && EntryFleet::Await([&] {
                  return fleet_.Get(i, "/safe/x").status_ == 200;
                });
    }
    return serving;
  }
  auto Cut() const -> void { std::ofstream file(File()); }
  auto Restore() const -> void { std::filesystem::remove(File()); }

private:
  [[nodiscard]] auto File() const -> std::string
  {
    return folder_.Path() + "/cut";
  }

  TempFolder folder_;
  EntryFleet fleet_;
};

} // namespace testing
