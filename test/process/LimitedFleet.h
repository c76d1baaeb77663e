#pragma once

#include "EntryFleet.h"

#include <algorithm>
#include <mutex>

namespace testing {

/** \brief Entry hosts under steady load, in front of engines that advertise
 * rate limits. */
class LimitedFleet
{
public:
  using TimePoint = goldcrestcroft::TimePoint;
  using Duration = goldcrestcroft::Duration;

  /** \brief One response to a caller. */
  struct Response
  {
    CallerResponse response_;
    TimePoint at_;
    Duration took_{};
  };

  explicit LimitedFleet(std::size_t aHosts)
    : fleet_(aHosts)
    , hosts_(aHosts)
  {
  }
  ~LimitedFleet() { StopLoad(); }
  LimitedFleet(const LimitedFleet&) = delete;
  auto operator=(const LimitedFleet&) -> LimitedFleet& = delete;

  auto AwaitReady() -> bool
  {
    auto ready = true;
    for (std::size_t i = 0; i < hosts_; ++i) {
      ready = fleet_.AwaitReady(i) && ready;
    }
    return ready && fleet_.AwaitDiscovery();
  }
  auto Fleet() -> EntryFleet& { return fleet_; }
  auto Engines(const std::string& aService = "desk")
    -> std::vector<std::unique_ptr<standins::EngineStandin>>&
  {
    return fleet_.Platform().Engines(aService);
  }
  /** \brief Starts callers that each send a request every aEvery; callers are
   * distributed over the hosts in turn. */
  auto StartLoad(std::size_t aCallers, std::chrono::milliseconds aEvery,
                 const std::string& aTarget = "/safe/x") -> void
  {
    stops_ = false;
    for (std::size_t i = 0; i < aCallers; ++i) {
      callers_.emplace_back([this, i, aEvery, aTarget] {
        // The callers do not start at the same time.
        std::this_thread::sleep_for(aEvery / 7 * (i % 7));
        while (!stops_) {
          const auto began = clock_.Now();
          auto response = fleet_.Get(i % hosts_, aTarget);
          const auto now = clock_.Now();
          {
            const std::lock_guard lock(mutex_);
            responses_.push_back({ std::move(response), now, now - began });
          }
          std::this_thread::sleep_for(aEvery -
                                      std::min<Duration>(now - began, aEvery));
        }
      });
    }
  }
  auto StopLoad() -> void
  {
    stops_ = true;
    for (auto& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }
  [[nodiscard]] auto Now() const -> TimePoint { return clock_.Now(); }
  static auto Wait(Duration aTime) -> void
  {
    std::this_thread::sleep_for(aTime);
  }
  /** \brief Responses that arrived at aSince or later. */
  auto ResponsesSince(TimePoint aSince) -> std::vector<Response>
  {
    const std::lock_guard lock(mutex_);
    std::vector<Response> responses;
    std::copy_if(responses_.begin(), responses_.end(),
                 std::back_inserter(responses),
                 [&](const auto& aItem) { return aItem.at_ >= aSince; });
    return responses;
  }
  /** \brief Maximum number of arrivals at the engine in any 4 s that begin at
   * aSince or later. */
  static auto MaxIn4s(standins::EngineStandin& aEngine, TimePoint aSince)
    -> std::size_t
  {
    constexpr auto kWindow = std::chrono::seconds{ 4 };
    const auto times = aEngine.ReceivedAt();
    std::size_t result = 0;
    for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
      while (times[i] - times[j] >= kWindow || times[j] < aSince) {
        if (++j > i) {
          break;
        }
      }
      result = std::max(result, j > i ? 0 : i - j + 1);
    }
    return result;
  }
  static auto ReachedSince(standins::EngineStandin& aEngine, TimePoint aSince)
    -> std::size_t
  {
    const auto times = aEngine.ReceivedAt();
    return static_cast<std::size_t>(std::count_if(
      times.begin(), times.end(), [&](auto aTime) { return aTime >= aSince; }));
  }
  /** \brief Number of arrivals in any 4 s that the users' rule allows. */
  static auto Allowed(double aLimit) -> std::size_t
  {
    return static_cast<std::size_t>(1.5 * 4.0 * aLimit + 5.0);
  }

private:
  EntryFleet fleet_;
  std::size_t hosts_;
  goldcrestcroft::SuspendAwareClock clock_;
  std::atomic<bool> stops_ = false;
  std::mutex mutex_;
  std::vector<Response> responses_;
  std::vector<std::thread> callers_;
};

} // namespace testing
