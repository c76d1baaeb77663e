#pragma once

#include "PromptPart.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief What a fingerprint of a suspect identifies.
 *
 * The first bits of a fingerprint tell the kind, so counts, notices and stored
 * rows of all kinds have the same format. */
enum class SuspectKind : std::uint8_t
{
  /** A request: path, workspace and body. */
  Request,
  /** A part of a prompt, in whichever request it is sent. */
  PromptPart
};

auto KindOf(std::uint64_t aFingerprint) -> SuspectKind;
/** \brief The kind as a stable lower-case word, for logs. */
auto ToString(SuspectKind aKind) -> std::string;
auto RequestFingerprint(std::string_view aText) -> std::uint64_t;
auto PromptPartFingerprint(std::string_view aId) -> std::uint64_t;
/** \brief Fingerprints of the parts that the prompt may share with others, in
 * their order. */
auto SharedPartFingerprints(const std::vector<PromptPart>& aParts)
  -> std::vector<std::uint64_t>;

/** \brief How long an engine has to send events until the run proves that its
 * prompt does not crash engines. A prompt that does so takes effect when the
 * engine begins to respond. */
inline constexpr Duration kProofTime = std::chrono::milliseconds{ 250 };

} // namespace goldcrestcroft
