#pragma once

#include "../../../Once.h"
#include "../../../Pipeline.h"
#include "CallerReply.h"

namespace goldcrestcroft {

/** \brief What a caller is told besides the answer itself. */
struct AnswerContext
{
  RequestId request_;
  VersionNumber version_ = 0;
  std::string traceparent_;
  std::vector<HopRecord> hops_;
  /** Whether the answer was recorded by an earlier submission of the key. */
  bool repeated_ = false;
};

/** \brief The JSON object that tells the answer. */
auto EncodeAnswer(const CallerAnswer& aAnswer, const AnswerContext& aContext)
  -> std::string;

/** \brief The whole reply: status, headers and body. */
auto BuildReply(const CallerAnswer& aAnswer, const AnswerContext& aContext)
  -> ReplyOptions;

/** \brief The refusal of a request that nothing was done for. */
auto Refusal(Error aError, Duration aRetryAfter = Duration{ 0 })
  -> CallerAnswer;

/** \brief An answer as an at-most-once row keeps it, and back. */
auto EncodeRecorded(const CallerAnswer& aAnswer) -> RecordedAnswer;
auto DecodeRecorded(const RecordedAnswer& aRecorded) -> CallerAnswer;

} // namespace goldcrestcroft
