#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief A backend server as it registered itself in the store. */
struct EngineEntry
{
  std::string id_;
  std::string service_;
  /** "IP:PORT". */
  std::string address_;
  std::string zone_;
  /** Version of the engine's software; empty if not reported. */
  std::string version_;
  std::size_t slots_ = 1;
  bool draining_ = false;
  /** Start of this incarnation in Unix milliseconds; 0 if not reported. */
  std::uint64_t startedAt_ = 0;
  /** How much longer the engine warmed up when it wrote the entry. */
  Duration warmUpLeft_{};
  /** Until when the engine warms up; set when the entry is adopted. */
  TimePoint coldUntil_{};

  auto operator<=>(const EngineEntry&) const = default;
};

} // namespace goldcrestcroft
