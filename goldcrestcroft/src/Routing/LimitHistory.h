#pragma once

#include "ClientLimits.h"

#include <deque>

namespace goldcrestcroft {

/** \brief The limits of callers' connections that have been in force over time.
 * A caller with an idle connection may still rely on any of them. */
class LimitHistory
{
public:
  /** \brief Records that aLimits are in force from aNow on. */
  auto OnLimits(const ClientLimits& aLimits, TimePoint aNow) -> void;
  /** \brief The maximum of each limit that was in force at aTime or later. */
  [[nodiscard]] auto MaxSince(TimePoint aTime) const -> ClientLimits;

private:
  struct Span
  {
    ClientLimits limits_;
    TimePoint from_;
  };

  /** The first span also covers all time before it. */
  std::deque<Span> spans_{ {} };
};

} // namespace goldcrestcroft
