#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief One piece in a call to an engine of a stage service. */
struct StageCallPiece
{
  std::string requestId_;
  std::uint32_t stage_ = 0;
  std::uint32_t piece_ = 0;
  Duration timeLeft_{};
  /** Either the key or the inputs are set. */
  std::string key_;
  std::vector<std::string> inputs_;

  auto operator<=>(const StageCallPiece&) const = default;
};

/** \brief Outcome of a piece. */
enum class PieceOutcome : std::uint8_t
{
  Made,
  /** Its deadline had passed. */
  Late,
  /** An input no longer exists. */
  InputsLost,
  /** The engine has no memory for the result. */
  NoResultMemory,
  /** The engine has no capacity for the call and did not run it. */
  EngineFull,
  Failed,
  /** The batch coordinator cannot run it before its deadline. */
  Refused,
  /** It waited at a batch coordinator whose role passed to another host; it
   * has to be ordered from that host. */
  Moved,
  /** Not final: an engine runs it and has fetched its inputs. */
  Begun
};

/** \brief The outcome as a stable lower-case word, for logs. */
auto ToString(PieceOutcome aEnd) -> std::string;

/** \brief The result of one piece. */
struct PieceResult
{
  std::uint32_t piece_ = 0;
  PieceOutcome end_ = PieceOutcome::Failed;
  /** Identifies the result, if one was produced. */
  std::string handle_;
  /** After a refusal: time until there may be capacity again. */
  Duration retryAfter_{};
  /** Reply to an order without pieces: the engine that the request is assigned
   * to; empty if there is none. */
  std::string assignedEngine_;

  auto operator<=>(const PieceResult&) const = default;
};

} // namespace goldcrestcroft
