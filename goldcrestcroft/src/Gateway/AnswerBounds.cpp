#include "AnswerBounds.h"

namespace goldcrestcroft {

auto ToString(AnswerBound aBound) -> std::string
{
  switch (aBound) {
    case AnswerBound::HeadBytes:
      return "head_bytes";
    case AnswerBound::HeadTime:
      return "head_time";
    case AnswerBound::InterimResponses:
      return "interim_answers";
    case AnswerBound::StrayResponses:
      return "stray_answers";
    case AnswerBound::FramingBytes:
      return "framing_bytes";
    case AnswerBound::FramingTime:
      return "framing_time";
    case AnswerBound::BodyBytes:
      return "body_bytes";
    case AnswerBound::BodyTime:
      return "body_time";
    case AnswerBound::HeldBytes:
      return "held_bytes";
    case AnswerBound::EventBytes:
      return "event_bytes";
    case AnswerBound::EventTime:
      return "event_time";
    case AnswerBound::None:
      break;
  }
  return "none";
}

auto Remedy(AnswerBound aBound) -> std::string
{
  switch (aBound) {
    case AnswerBound::None:
      return "";
    case AnswerBound::HeldBytes:
      return "look for engines with large responses; responses of this size "
             "need hosts with more memory";
    case AnswerBound::BodyBytes:
    case AnswerBound::EventBytes:
      return "look at the engine; if its responses are that large, split them";
    default:
      return "restart the engine: it does not send a valid response";
  }
}

auto EventWatch::Check(const EventRelay& aRelay, TimePoint aNow) -> AnswerBound
{
  if (aRelay.HasLongId() || aRelay.BytesWithoutData() > bounds_.eventBytes_) {
    return AnswerBound::EventBytes;
  }
  if (aRelay.Partial().empty()) {
    begunAt_.reset();
    return AnswerBound::None;
  }
  // The rest of a read may be the beginning of the next event, whose time
  // starts anew.
  if (!begunAt_ || events_ != aRelay.Events()) {
    begunAt_ = aNow;
    events_ = aRelay.Events();
  }
  return aNow - *begunAt_ > bounds_.eventTime_ ? AnswerBound::EventTime
                                               : AnswerBound::None;
}

} // namespace goldcrestcroft
