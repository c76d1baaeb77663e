#include "StageCallPiece.h"

namespace goldcrestcroft {

auto ToString(PieceEnd aEnd) -> std::string
{
  switch (aEnd) {
    case PieceEnd::Made:
      return "made";
    case PieceEnd::Late:
      return "late";
    case PieceEnd::InputsGone:
      return "inputs_gone";
    case PieceEnd::NoRoom:
      return "no_room";
    case PieceEnd::EngineFull:
      return "engine_full";
    case PieceEnd::Failed:
      return "failed";
    case PieceEnd::Refused:
      return "refused";
    case PieceEnd::Moved:
      return "moved";
    case PieceEnd::Begun:
      break;
  }
  return "begun";
}

} // namespace goldcrestcroft
