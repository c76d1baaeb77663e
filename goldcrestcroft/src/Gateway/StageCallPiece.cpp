#include "StageCallPiece.h"

namespace goldcrestcroft {

auto ToString(PieceOutcome aEnd) -> std::string
{
  switch (aEnd) {
    case PieceOutcome::Made:
      return "made";
    case PieceOutcome::Late:
      return "late";
    case PieceOutcome::InputsLost:
      return "inputs_gone";
    case PieceOutcome::NoResultMemory:
      return "no_room";
    case PieceOutcome::EngineFull:
      return "engine_full";
    case PieceOutcome::Failed:
      return "failed";
    case PieceOutcome::Refused:
      return "refused";
    case PieceOutcome::Moved:
      return "moved";
    case PieceOutcome::Begun:
      break;
  }
  return "begun";
}

} // namespace goldcrestcroft
