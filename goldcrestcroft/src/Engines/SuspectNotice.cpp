#include "SuspectNotice.h"

namespace goldcrestcroft {

auto ToString(SuspectLevel aLevel) -> std::string
{
  switch (aLevel) {
    case SuspectLevel::Suspected:
      return "suspected";
    case SuspectLevel::Quarantined:
      return "held_back";
    case SuspectLevel::Cleared:
      break;
  }
  return "cleared";
}

} // namespace goldcrestcroft
