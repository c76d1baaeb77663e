#pragma once

#include "../../Core.h"

namespace goldcrestcroft {

/** \brief Tracks whether a stage engine is used by one batch coordinator only.
 *
 * Only then does the engine start a call as soon as it arrives, so that the
 * coordinator can tell before the response that the inputs were fetched.
 * Exclusive use counts as confirmed after a period without signs of
 * contention. */
class ExclusiveUse
{
public:
  struct Options
  {
    /** The host lists converge within this time after a change. */
    Duration confirmAfter_ = std::chrono::seconds{ 3 };
    /** A call that takes longer than this multiple of the expected time plus
     * the slack has waited behind another call. */
    double slowFactor_ = 1.5;
    Duration slack_ = std::chrono::milliseconds{ 60 };
  };

  explicit ExclusiveUse(TimePoint aNow)
    : ExclusiveUse(Options{}, aNow)
  {
  }
  ExclusiveUse(Options aOptions, TimePoint aNow)
    : options_(aOptions)
    , contendedAt_(aNow)
  {
  }

  /** \brief Another host calls the engine too, or may do so. */
  auto OnContention(TimePoint aNow) -> void { contendedAt_ = aNow; }
  auto OnCall(Duration aTook, Duration aExpected, TimePoint aNow) -> void
  {
    const auto maxTime =
      Duration(static_cast<Duration::rep>(
        static_cast<double>(aExpected.count()) * options_.slowFactor_)) +
      options_.slack_;
    if (aTook > maxTime) {
      OnContention(aNow);
    }
  }
  [[nodiscard]] auto IsConfirmed(TimePoint aNow) const -> bool
  {
    return aNow - contendedAt_ >= options_.confirmAfter_;
  }

private:
  Options options_;
  TimePoint contendedAt_;
};

} // namespace goldcrestcroft
