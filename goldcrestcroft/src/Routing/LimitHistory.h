#pragma once

#include "ClientLimits.h"

#include <deque>

namespace goldcrestcroft {

/** \brief The limits of callers' connections that were in force one after the
 * other. A caller whose connection rests may go by any of them. */
class LimitHistory
{
public:
  /** \brief In force from now on. */
  auto OnLimits(const ClientLimits& aLimits, TimePoint aNow) -> void;
  /** \brief The most of each that was in force at that time or since. */
  [[nodiscard]] auto MostSince(TimePoint aTime) const -> ClientLimits;

private:
  struct Span
  {
    ClientLimits limits_;
    TimePoint from_;
  };

  /** The first stands for all of before. */
  std::deque<Span> spans_{ {} };
};

} // namespace goldcrestcroft
