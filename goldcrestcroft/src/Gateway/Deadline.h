#pragma once

#include "Net.h"

#include <functional>
#include <memory>

namespace goldcrestcroft {

/** \brief A timeout that can be armed, rearmed and disarmed. An expiry that was
 * queued before it was rearmed or disarmed does nothing. Not thread-safe. */
class Deadline
{
public:
  /** \brief Receives how late the expiry was noticed; may arm the deadline
   * again. */
  using ExpiryHandler = std::function<void(Duration aLate)>;
  /** \brief Whether bytes have arrived that were not read yet. */
  using HasUnread = std::function<bool()>;

  /** \brief With aHasUnread, an expiry that finds unread bytes is postponed by
   * a short grace period for reading them: once each time the deadline is
   * armed, and again, a limited number of times, if the loop stalled in the
   * meantime. */
  explicit Deadline(const asio::any_io_executor& aExecutor,
                    HasUnread aHasUnread = {});
  Deadline(const Deadline&) = delete;
  auto operator=(const Deadline&) -> Deadline& = delete;

  /** \brief Calls aOnExpiry after aTimeout, unless the deadline is rearmed,
   * disarmed or destroyed before. */
  auto Arm(Duration aTimeout, ExpiryHandler aOnExpiry) -> void;
  auto Disarm() -> void;

private:
  struct State;

  static auto Wait(const std::shared_ptr<State>& aState, Duration aTimeout)
    -> void;
  static auto GrantGracePeriod(const std::shared_ptr<State>& aState) -> bool;
  static auto OnExpiry(const std::shared_ptr<State>& aState) -> void;

  std::shared_ptr<State> state_;
};

} // namespace goldcrestcroft
