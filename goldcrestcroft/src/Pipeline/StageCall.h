#pragma once

#include "../../Config.h"
#include "StageData.h"

namespace goldcrestcroft {

/** \brief Number of documents that a retrieve stage requests. */
inline constexpr unsigned kRetrievedDocuments = 8;
/** \brief Number of documents that a rerank stage keeps. */
inline constexpr unsigned kRerankedDocuments = 3;

/** \brief Returns the JSON body of the call of a stage. */
auto BuildStageBody(StageKind aKind, const StageData& aData) -> std::string;

/** \brief Returns the amount of work in the call, in hundreds of characters, in
 * documents or in tokens, depending on the kind. */
auto StageSize(StageKind aKind, const StageData& aData) -> double;

/** \brief Parses a complete response and stores its result in aData.
 *
 * Generate stages are not supported, since their responses are streams. Fails
 * with Protocol if the response is incomplete, malformed or empty. */
auto ReadStageResponse(StageKind aKind, const std::string& aBody,
                       StageData& aData) -> Result<void>;

} // namespace goldcrestcroft
