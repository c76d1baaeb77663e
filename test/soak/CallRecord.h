#pragma once

#include "FaultLog.h"

namespace soak {

enum class CallKind
{
  Safe,
  Unsafe,
  Stream,
  /** To the most recently added route. */
  NewRoute,
  /** With the most recently issued key. */
  NewKey,
  /** With a revoked key. */
  OldKey,
  /** Crashes each engine that starts to run it. */
  Poison,
  /** Has a part in its prompt that crashes each engine. */
  CrashingPart,
  /** Begins a stream or takes one up, see FollowedStream. */
  Followed
};

/** The timeout that most callers send. */
inline constexpr auto kDefaultTimeout = std::chrono::milliseconds{ 1500 };

/** \brief One request as observed by its caller. */
struct CallRecord
{
  std::string id_;
  std::size_t host_ = 0;
  /** Number of the host's process, counted from its first start. */
  unsigned incarnation_ = 0;
  CallKind kind_ = CallKind::Safe;
  /** When the configuration change that decides the outcome was stored. */
  TimePoint changedAt_;
  TimePoint sentAt_;
  /** The timeout that the caller sent. */
  Duration timeout_ = kDefaultTimeout;
  TimePoint endedAt_;
  /** 0 if no complete response head was received. */
  int status_ = 0;
  bool complete_ = false;
  /** The body of a poison request; empty otherwise. */
  std::string poison_;
  /** Id of the part of its prompt that crashes engines; empty otherwise. */
  std::string crashingPart_;
  bool abandoned_ = false;
  /** Why the response by itself is invalid; empty if it is valid. */
  std::string violation_;

  [[nodiscard]] auto IsServed() const -> bool
  {
    return status_ == 200 && complete_;
  }
};

} // namespace soak
