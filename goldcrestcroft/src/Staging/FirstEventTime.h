#pragma once

#include "../../Core.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief What model engines take from the last result of the stages to the
 * first event, for requests of one route.
 *
 * Answers prompts of very different length: with one time for all of them, the
 * requests with long prompts wait for their stages until they are late. */
class FirstEventTime
{
public:
  auto OnFirstEvent(Duration aTook) -> void
  {
    const auto took = std::min(aTook, kMost);
    const auto off = took > mean_ ? took - mean_ : mean_ - took;
    mean_ += (took - mean_) / kNewPart;
    deviation_ += (off - deviation_) / kNewPart;
  }
  /** \brief Enough for most requests. */
  [[nodiscard]] auto Usual() const -> Duration { return mean_ + deviation_; }

private:
  /** The newest one counts for one part in so many. */
  static constexpr Duration::rep kNewPart = 16;
  /** Beyond this an engine was in trouble, which says nothing of the prompt. */
  static constexpr Duration kMost = std::chrono::milliseconds{ 1500 };

  Duration mean_ = std::chrono::milliseconds{ 150 };
  Duration deviation_ = std::chrono::milliseconds{ 100 };
};

} // namespace goldcrestcroft
