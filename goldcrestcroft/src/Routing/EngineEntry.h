#pragma once

#include "../../Core.h"

#include <string>

namespace goldcrestcroft {

/** \brief A backend server as it registered itself. */
struct EngineEntry
{
  std::string id_;
  std::string service_;
  /** "IP:PORT". */
  std::string address_;
  std::string zone_;
  std::size_t slots_ = 1;
  bool draining_ = false;
  /** Unix milliseconds of its start, where it tells. */
  std::uint64_t startedAt_ = 0;

  auto operator<=>(const EngineEntry&) const = default;
};

} // namespace goldcrestcroft
