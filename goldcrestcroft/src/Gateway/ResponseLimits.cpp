#include "ResponseLimits.h"

namespace goldcrestcroft {

auto ToString(ResponseLimit aBound) -> std::string
{
  switch (aBound) {
    case ResponseLimit::HeadBytes:
      return "head_bytes";
    case ResponseLimit::HeadTime:
      return "head_time";
    case ResponseLimit::InterimResponses:
      return "interim_answers";
    case ResponseLimit::StrayResponses:
      return "stray_answers";
    case ResponseLimit::FramingBytes:
      return "framing_bytes";
    case ResponseLimit::FramingTime:
      return "framing_time";
    case ResponseLimit::BodyBytes:
      return "body_bytes";
    case ResponseLimit::BodyTime:
      return "body_time";
    case ResponseLimit::BufferedBytes:
      return "held_bytes";
    case ResponseLimit::EventBytes:
      return "event_bytes";
    case ResponseLimit::EventTime:
      return "event_time";
    case ResponseLimit::None:
      break;
  }
  return "none";
}

auto Remedy(ResponseLimit aBound) -> std::string
{
  switch (aBound) {
    case ResponseLimit::None:
      return "";
    case ResponseLimit::BufferedBytes:
      return "look for engines with large responses; responses of this size "
             "need hosts with more memory";
    case ResponseLimit::BodyBytes:
    case ResponseLimit::EventBytes:
      return "look at the engine; if its responses are that large, split them";
    default:
      return "restart the engine: it does not send a valid response";
  }
}

auto EventLimitChecker::Check(const EventRelay& aRelay, TimePoint aNow)
  -> ResponseLimit
{
  if (aRelay.HasLongId() || aRelay.BytesWithoutData() > bounds_.eventBytes_) {
    return ResponseLimit::EventBytes;
  }
  if (aRelay.Partial().empty()) {
    begunAt_.reset();
    return ResponseLimit::None;
  }
  // The rest of a read may be the beginning of the next event, whose time
  // starts anew.
  if (!begunAt_ || events_ != aRelay.Events()) {
    begunAt_ = aNow;
    events_ = aRelay.Events();
  }
  return aNow - *begunAt_ > bounds_.eventTime_ ? ResponseLimit::EventTime
                                               : ResponseLimit::None;
}

} // namespace goldcrestcroft
