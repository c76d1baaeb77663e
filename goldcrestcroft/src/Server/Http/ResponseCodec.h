#pragma once

#include "../../../Once.h"
#include "../../../Pipeline.h"
#include "CallerResponseWriter.h"

namespace goldcrestcroft {

/** \brief Metadata that a response carries beside the result itself. */
struct ResponseContext
{
  RequestId request_;
  VersionNumber version_ = 0;
  std::string traceparent_;
  std::vector<HopRecord> hops_;
  /** Whether an earlier submission of the idempotency key recorded this
   * result. */
  bool repeated_ = false;
};

/** \brief Encodes a result as the JSON body of its response. */
auto EncodeResponseBody(const RequestResult& aAnswer,
                        const ResponseContext& aContext) -> std::string;

/** \brief Builds the complete response: status, headers and body. */
auto BuildResponse(const RequestResult& aAnswer,
                   const ResponseContext& aContext) -> ResponseOptions;

/** \brief The result of a request that was rejected before anything ran. */
auto Refusal(Error aError, Duration aRetryAfter = Duration{ 0 })
  -> RequestResult;

/** \brief Convert a result to and from the form that an at-most-once row
 * stores. */
auto EncodeRecorded(const RequestResult& aAnswer) -> RecordedResponse;
auto DecodeRecorded(const RecordedResponse& aRecorded) -> RequestResult;

} // namespace goldcrestcroft
