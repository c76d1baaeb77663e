#pragma once

#include "../../Core.h"

#include <algorithm>
#include <utility>

namespace goldcrestcroft {

/** \brief Whether an engine may be sent anything, by its own word.
 *
 * One that says that it leaves gets nothing new until another start of it is
 * there. One that asks to be left alone gets nothing for that long: requests,
 * pieces, releases and trials alike. One that takes so many requests a second
 * from all hosts together gets those for which a permit was given. This is no
 * judgement of its health. */
class EngineConsent
{
public:
  struct Options
  {
    /** A longer pause than this is an engine's error; it is tried again. */
    Duration longestPause_ = std::chrono::seconds{ 60 };
  };

  EngineConsent()
    : EngineConsent(Options{})
  {
  }
  explicit EngineConsent(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Whether that is new. */
  auto OnLeaving() -> bool { return !std::exchange(leaving_, true); }
  /** \brief It asked for a pause from now on; a shorter one does not end an
   * earlier one. */
  auto OnPauseAsked(Duration aPause, TimePoint aNow) -> void
  {
    pausedUntil_ =
      std::max(pausedUntil_, aNow + std::min(aPause, options_.longestPause_));
  }

  /** \brief No permit was given; it is worth asking again after aWait. */
  auto OnDenied(Duration aWait, TimePoint aNow) -> void
  {
    askAgainAt_ = aNow + aWait;
  }
  /** \brief It names no limit any more. */
  auto OnLimitEnded() -> void { askAgainAt_ = {}; }

  [[nodiscard]] auto IsLeaving() const -> bool { return leaving_; }
  [[nodiscard]] auto MayReceive(TimePoint aNow) const -> bool
  {
    return !leaving_ && aNow >= pausedUntil_;
  }
  /** \brief Whether a request that can wait for so long may be meant for it;
   * where it names a limit, a permit is still to be asked for. */
  [[nodiscard]] auto MayBeAsked(Duration aPatience, TimePoint aNow) const
    -> bool
  {
    return MayReceive(aNow) && askAgainAt_ <= aNow + aPatience;
  }
  /** \brief How long it wants nothing; zero for one that leaves. */
  [[nodiscard]] auto PauseLeft(TimePoint aNow) const -> Duration
  {
    return leaving_ ? Duration{} : std::max<Duration>(pausedUntil_ - aNow, {});
  }
  /** \brief The same, with the time until a permit may be had. */
  [[nodiscard]] auto WaitLeft(TimePoint aNow) const -> Duration
  {
    return leaving_ ? Duration{}
                    : std::max<Duration>(askAgainAt_ - aNow, PauseLeft(aNow));
  }

private:
  Options options_;
  bool leaving_ = false;
  TimePoint pausedUntil_{};
  TimePoint askAgainAt_{};
};

} // namespace goldcrestcroft
