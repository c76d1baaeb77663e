#pragma once

#include "../../Core.h"

#include <set>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Requests that were running on engines that broke off.
 *
 * A request is told by its path, workspace and body, so that it is known again
 * under another id and at another host. After it has been seen on enough
 * engines that broke off, and on none to its end since, it is held back. */
class CrashSuspects
{
public:
  struct Options
  {
    /** Engines lost before a request is held back. */
    std::size_t crashesToHold_ = 2;
    Duration rememberFor_ = std::chrono::minutes{ 5 };
    /** Requests remembered. */
    std::size_t capacity_ = 4096;
  };

  explicit CrashSuspects(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Returns whether this was not known before. */
  auto OnCrash(std::uint64_t aFingerprint, std::uint64_t aEngine,
               TimePoint aNow) -> bool;
  /** \brief An engine ran it to its end, so it was not the cause of the losses
   * so far. Returns whether any were counted. */
  auto OnCompleted(std::uint64_t aFingerprint) -> bool;
  [[nodiscard]] auto IsHeldBack(std::uint64_t aFingerprint,
                                TimePoint aNow) const -> bool;

private:
  struct Entry
  {
    std::set<std::uint64_t> engines_;
    /** So many of them do not count. */
    std::size_t forgiven_ = 0;
    TimePoint until_;
  };

  Options options_;
  std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace goldcrestcroft
