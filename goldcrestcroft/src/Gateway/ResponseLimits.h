#pragma once

#include "EventRelay.h"
#include "FramingLimits.h"
#include "Net.h"

namespace goldcrestcroft {

/** \brief The limit that a response has exceeded. */
enum class ResponseLimit
{
  None,
  HeadBytes,
  HeadTime,
  InterimResponses,
  StrayResponses,
  FramingBytes,
  FramingTime,
  BodyBytes,
  BodyTime,
  BufferedBytes,
  EventBytes,
  EventTime
};

/** \brief A fixed name for metrics and the log. */
auto ToString(ResponseLimit aBound) -> std::string;
/** \brief What an operator can do about it. */
auto Remedy(ResponseLimit aBound) -> std::string;

/** \brief Limits on the bytes and the timing of one response of an engine. */
struct ResponseLimits
{
  /** Bytes of the head; heads of healthy engines are below 2 KB. */
  std::uint32_t headBytes_ = 32'768;
  /** From the first to the last byte of a head or of a chunk header. Each is
   * sent in one write, and a lost TCP segment is retransmitted within this. */
  Duration headTime_ = std::chrono::milliseconds{ 1000 };
  /** HTTP allows any number of 1xx responses; healthy engines send none. */
  int interimResponses_ = 8;
  /** Late responses to other requests that are skipped on one connection. */
  int strayResponses_ = 4;
  /** Bytes of the body of a stray response or an error response. */
  std::size_t shortBodyBytes_ = 1U << 20U;
  /** Time for the body of a stray response or an error response, which
   * engines send in one write. */
  Duration shortBodyTime_ = std::chrono::milliseconds{ 1000 };
  FramingLimits framing_;
  /** Bytes since the last event with data. Events hold a few words. */
  std::size_t eventBytes_ = 256U << 10U;
  /** From the first to the last byte of an event, which is sent in one
   * write. */
  Duration eventTime_ = std::chrono::milliseconds{ 1000 };
};

/** \brief Checks the incomplete event of a stream against the limits. */
class EventLimitChecker
{
public:
  explicit EventLimitChecker(const ResponseLimits& aBounds)
    : bounds_(aBounds)
  {
  }

  /** \brief The limit exceeded, if any. To be called each time the relay was
   * fed. */
  auto Check(const EventRelay& aRelay, TimePoint aNow) -> ResponseLimit;

private:
  const ResponseLimits& bounds_;
  std::size_t events_ = 0;
  std::optional<TimePoint> begunAt_;
};

} // namespace goldcrestcroft
