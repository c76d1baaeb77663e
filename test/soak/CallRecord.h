#pragma once

#include "Disturbances.h"

namespace soak {

enum class CallKind
{
  Safe,
  Unsafe,
  Stream,
  /** To the route that was added last. */
  NewRoute,
  /** With the key that was issued last. */
  NewKey,
  /** With a key that was taken away. */
  OldKey,
  /** Ends each engine that begins to run it. */
  Poison
};

/** How long most callers say that they wait. */
inline constexpr auto kTimeLeft = std::chrono::milliseconds{ 1500 };

/** \brief One request, as its caller saw it. */
struct CallRecord
{
  std::string id_;
  std::size_t host_ = 0;
  /** Process of that host, counted from its first start. */
  unsigned life_ = 0;
  CallKind kind_ = CallKind::Safe;
  /** When the change on which the outcome depends was in the store. */
  TimePoint changedAt_;
  TimePoint sentAt_;
  /** How long its caller said that it waits. */
  Duration timeLeft_ = kTimeLeft;
  TimePoint endedAt_;
  /** 0 where no whole head came. */
  int status_ = 0;
  bool whole_ = false;
  /** The body of one that ends engines; empty otherwise. */
  std::string poison_;
  bool gaveUp_ = false;
  /** An own rule of the answer that it breaks; empty if none. */
  std::string problem_;

  [[nodiscard]] auto IsServed() const -> bool
  {
    return status_ == 200 && whole_;
  }
};

} // namespace soak
