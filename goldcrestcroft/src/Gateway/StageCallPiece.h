#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief One piece of a call to an engine of a stage service. */
struct StageCallPiece
{
  std::string requestId_;
  std::uint32_t stage_ = 0;
  std::uint32_t piece_ = 0;
  Duration timeLeft_{};
  /** Either the key or the inputs are given. */
  std::string key_;
  std::vector<std::string> inputs_;

  auto operator<=>(const StageCallPiece&) const = default;
};

/** \brief How a piece ended. */
enum class PieceEnd : std::uint8_t
{
  Made,
  /** Its time had passed. */
  Late,
  /** An input is there no longer. */
  InputsGone,
  /** The engine has no memory for the result. */
  NoRoom,
  /** The engine has no place for the call, and did not run it. */
  EngineFull,
  Failed,
  /** The collector has no time for it before its deadline. */
  Refused,
  /** It waited at a collector whose office passed to another host; ask that
   * one. */
  Moved,
  /** No end yet: an engine works on it and has fetched its inputs. */
  Begun
};

/** \brief The end as a stable lower-case word, for logs. */
auto ToString(PieceEnd aEnd) -> std::string;

/** \brief The answer about one piece. */
struct PieceResult
{
  std::uint32_t piece_ = 0;
  PieceEnd end_ = PieceEnd::Failed;
  /** Names the result, where one was made. */
  std::string handle_;
  /** After a refusal: when there may be time again. */
  Duration retryAfter_{};

  auto operator<=>(const PieceResult&) const = default;
};

} // namespace goldcrestcroft
