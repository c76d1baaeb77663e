#pragma once

#include "EventRelay.h"
#include "Net.h"

namespace goldcrestcroft {

/** \brief A bound that the bytes of an answer have passed. */
enum class AnswerBound
{
  None,
  HeadBytes,
  HeadTime,
  InterimAnswers,
  StrayAnswers,
  FramingBytes,
  FramingTime,
  BodyBytes,
  BodyTime,
  HeldBytes,
  EventBytes,
  EventTime
};

/** \brief A fixed name, for metrics and the log. */
auto ToString(AnswerBound aBound) -> std::string;
/** \brief What to do about it. */
auto Remedy(AnswerBound aBound) -> std::string;

/** \brief Bounds of what an engine may send for one answer. */
struct AnswerBounds
{
  /** Heads of sound engines are below 2 KB; bytes. */
  std::uint32_t headBytes_ = 32'768;
  /** From the first byte of a head, or of a chunk's, to its last: they come
   * in one write, and a segment that is lost is sent again within this. */
  Duration headTime_ = std::chrono::milliseconds{ 1000 };
  /** HTTP allows any number; sound engines send none. */
  int interimAnswers_ = 8;
  /** Late answers of others that are read past on one connection. */
  int strayAnswers_ = 4;
  /** Of a stray answer or of a failure; bytes. */
  std::size_t otherBytes_ = 1U << 20U;
  /** Of a stray answer or of a failure: engines send those in one write. */
  Duration otherTime_ = std::chrono::milliseconds{ 1000 };
  /** One chunk's head or the trailer; bytes. */
  std::size_t framingBytes_ = 16'384;
  /** Chunks' heads in all: a chunk of one byte has six more. */
  std::size_t framingOfBody_ = 16;
  /** Since the last event with data; bytes. Events hold a few words. */
  std::size_t eventBytes_ = 256U << 10U;
  /** From the first byte of an event to its last, which come in one write. */
  Duration eventTime_ = std::chrono::milliseconds{ 1000 };
};

/** \brief Watches the event that a stream is in the middle of. */
class EventWatch
{
public:
  explicit EventWatch(const AnswerBounds& aBounds)
    : bounds_(aBounds)
  {
  }

  /** \brief The bound passed, after the relay was fed. */
  auto Check(const EventRelay& aRelay, TimePoint aNow) -> AnswerBound;

private:
  const AnswerBounds& bounds_;
  std::size_t events_ = 0;
  std::optional<TimePoint> begunAt_;
};

} // namespace goldcrestcroft
