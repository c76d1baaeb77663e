#pragma once

#include "../../Config.h"
#include "StageData.h"

namespace goldcrestcroft {

/** \brief How many documents a retrieve stage asks for. */
inline constexpr unsigned kRetrievedDocuments = 8;
/** \brief How many documents a rerank stage keeps. */
inline constexpr unsigned kRerankedDocuments = 3;

/** \brief The JSON body of the call that a stage makes. */
auto BuildStageBody(StageKind aKind, const StageData& aData) -> std::string;

/** \brief The amount of work in the call: hundreds of characters, documents or
 * tokens, by kind. */
auto StageSize(StageKind aKind, const StageData& aData) -> double;

/** \brief Adds a whole, well-formed answer to the data.
 *
 * Not for generate stages, whose answers are streams. Fails with Protocol when
 * the answer is short, malformed or empty. */
auto ReadStageAnswer(StageKind aKind, const std::string& aBody,
                     StageData& aData) -> Result<void>;

} // namespace goldcrestcroft
