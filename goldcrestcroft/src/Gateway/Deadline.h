#pragma once

#include "Net.h"

#include <functional>
#include <memory>

namespace goldcrestcroft {

/** \brief A time limit that is set, set anew and lifted. An expiry that was
 * queued before it was set anew or lifted does nothing. For one thread. */
class Deadline
{
public:
  /** \brief Told how late the expiry was noticed; may arm again. */
  using OnOver = std::function<void(Duration aLate)>;
  /** \brief Whether bytes have come that were not read yet. */
  using HasUnread = std::function<bool()>;

  /** \brief With aHasUnread, an expiry that finds unread bytes leaves a short
   * time for reading them: once for each arming, and again, a few times at
   * most, where the loop stood still meanwhile. */
  explicit Deadline(const asio::any_io_executor& aExecutor,
                    HasUnread aHasUnread = {});
  Deadline(const Deadline&) = delete;
  auto operator=(const Deadline&) -> Deadline& = delete;

  /** \brief aOnOver is called in aTime, unless this is armed anew, disarmed
   * or destroyed before. */
  auto Arm(Duration aTime, OnOver aOnOver) -> void;
  auto Disarm() -> void;

private:
  struct State;

  static auto Wait(const std::shared_ptr<State>& aState, Duration aTime)
    -> void;
  static auto LeaveGrace(const std::shared_ptr<State>& aState) -> bool;
  static auto OnExpiry(const std::shared_ptr<State>& aState) -> void;

  std::shared_ptr<State> state_;
};

} // namespace goldcrestcroft
