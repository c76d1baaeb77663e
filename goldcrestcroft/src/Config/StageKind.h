#pragma once

#include <optional>
#include <string_view>

namespace goldcrestcroft {

/** \brief The kind of work that a stage requests from its backend server. */
enum class StageKind
{
  Encode,
  Retrieve,
  Rerank,
  Generate,
  Call
};

inline constexpr std::string_view kStageKindNames[] = { "encode", "retrieve",
                                                        "rerank", "generate",
                                                        "call" };

inline auto ToString(StageKind aKind) -> std::string_view
{
  return kStageKindNames[static_cast<int>(aKind)];
}

inline auto StageKindFromString(std::string_view aName)
  -> std::optional<StageKind>
{
  for (auto kind : { StageKind::Encode, StageKind::Retrieve, StageKind::Rerank,
                     StageKind::Generate, StageKind::Call }) {
    if (ToString(kind) == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

} // namespace goldcrestcroft
