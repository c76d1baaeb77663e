#pragma once

#include "../../../Once.h"
#include "../../../Pipeline.h"
#include "CallerReply.h"

namespace goldcrestcroft {

/** \brief Metadata that a response carries beside the result itself. */
struct AnswerContext
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
auto EncodeAnswer(const CallerAnswer& aAnswer, const AnswerContext& aContext)
  -> std::string;

/** \brief Builds the complete response: status, headers and body. */
auto BuildReply(const CallerAnswer& aAnswer, const AnswerContext& aContext)
  -> ReplyOptions;

/** \brief The result of a request that was rejected before anything ran. */
auto Refusal(Error aError, Duration aRetryAfter = Duration{ 0 })
  -> CallerAnswer;

/** \brief Convert a result to and from the form that an at-most-once row
 * stores. */
auto EncodeRecorded(const CallerAnswer& aAnswer) -> RecordedAnswer;
auto DecodeRecorded(const RecordedAnswer& aRecorded) -> CallerAnswer;

} // namespace goldcrestcroft
