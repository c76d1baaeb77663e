#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace standins {

/** \brief Runs functions after a delay, on a thread of its own. */
class Timer
{
public:
  Timer()
    : thread_([this](const std::stop_token& aStop) { Run(aStop); })
  {
  }

  auto After(std::chrono::milliseconds aDelay, std::function<void()> aRun)
    -> void
  {
    {
      const std::lock_guard lock(mutex_);
      due_.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aRun));
    }
    changed_.notify_one();
  }

private:
  auto Run(const std::stop_token& aStop) -> void
  {
    std::unique_lock lock(mutex_);
    while (!aStop.stop_requested()) {
      if (due_.empty()) {
        changed_.wait_for(lock, std::chrono::milliseconds{ 100 });
      } else if (due_.begin()->first > std::chrono::steady_clock::now()) {
        changed_.wait_until(lock, due_.begin()->first);
      } else {
        const auto run = due_.extract(due_.begin()).mapped();
        lock.unlock();
        run();
        lock.lock();
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>>
    due_;
  std::jthread thread_;
};

} // namespace standins
