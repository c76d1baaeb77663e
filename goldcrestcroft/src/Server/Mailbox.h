#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace goldcrestcroft {

/** \brief Queue that passes values from any thread to its owner thread. */
template<typename T>
class Mailbox
{
public:
  /** aWake wakes the owner thread; it must be callable from any thread. */
  explicit Mailbox(std::function<void()> aWake)
    : wake_(std::move(aWake))
  {
  }

  auto Post(T aValue) -> void
  {
    auto first = false;
    {
      const std::lock_guard lock(mutex_);
      first = values_.empty();
      values_.push_back(std::move(aValue));
    }
    if (first) {
      wake_();
    }
  }

  [[nodiscard]] auto TakeAll() -> std::vector<T>
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(values_, {});
  }

private:
  std::function<void()> wake_;
  std::mutex mutex_;
  std::vector<T> values_;
};

} // namespace goldcrestcroft
