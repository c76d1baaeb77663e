#pragma once

#include "RawFleet.h"

#include <fstream>

namespace testing {

using standins::EndlessBytes;

/** Memory that the host may use. */
constexpr std::size_t kHostMegabytes = 160;
/** Begins a stream without a length. */
inline const std::string kStream =
  kHead + "Content-Type: text/event-stream\r\n\r\n";

/** \brief All engines of the service respond with these bytes from now on. */
inline auto SetEndless(EntryFleet& aFleet, const std::string& aService,
                       const std::optional<EndlessBytes>& aBytes) -> void
{
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    engine->SetEndless(aBytes);
  }
}

/** \brief Number of endless responses that the host has not closed yet. */
inline auto EndlessOpen(EntryFleet& aFleet, const std::string& aService)
  -> std::size_t
{
  std::size_t open = 0;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    open += engine->EndlessOpen();
  }
  return open;
}

/** \brief Peak resident memory of the host. */
inline auto PeakMegabytes(EntryFleet& aFleet) -> std::size_t
{
  std::ifstream file("/proc/" + std::to_string(aFleet.ProcessOf(0).Pid()) +
                     "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (file >> word) {
    if (word == "VmHWM:") {
      file >> kilobytes;
    }
  }
  return kilobytes / 1024;
}

} // namespace testing
