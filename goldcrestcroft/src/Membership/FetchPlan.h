#pragma once

#include "../Core/Clock.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Decides which peers a host asks for state that it lacks.
 *
 * Addresses the load of a rolling restart, in which many of the known peers do
 * not answer. Candidates are the peers whose heartbeats reported newer state;
 * State is what they reported. The one heard from last is asked first. While it
 * does not answer, a few others are asked as well, so that a dead peer costs
 * the hedge delay, not the timeout. Single-threaded. */
template<typename State>
class FetchPlan
{
public:
  struct Options
  {
    /** Concurrent fetches. A reply may be megabytes long, and the smallest
     * hosts have 10 Mbit/s. */
    std::size_t maxParallel_ = 3;
    /** The next peer is asked after this time without a reply; that of a busy
     * host with a tenth of a core, in another zone, begins within 100 ms. */
    Duration hedgeDelay_ = std::chrono::milliseconds{ 150 };
    /** A fetch without a reply has failed after this time. */
    Duration timeout_ = std::chrono::milliseconds{ 800 };
    /** A peer that failed is asked last for this long, which a restart of a
     * host takes. */
    Duration skipTime_ = std::chrono::seconds{ 2 };
    /** Candidates that are kept, those heard from last. */
    std::size_t maxCandidates_ = 16;
  };
  struct Request
  {
    std::string address_;
    /** What the peer reported when it was last heard. */
    State state_;

    auto operator<=>(const Request&) const = default;
  };

  FetchPlan()
    : FetchPlan(Options{})
  {
  }
  explicit FetchPlan(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief A peer reported state that this host lacks. */
  auto OnHeard(const std::string& aAddress, const State& aState) -> void
  {
    candidates_[aAddress] = { .state_ = aState, .number_ = ++lastNumber_ };
    if (candidates_.size() > options_.maxCandidates_) {
      candidates_.erase(
        std::min_element(candidates_.begin(), candidates_.end(),
                         [](const auto& aLeft, const auto& aRight) {
                           return aLeft.second.number_ < aRight.second.number_;
                         }));
    }
  }
  /** \brief The next peer to ask now, if any; call until there is none.
   * aIsWanted tells whether this host still lacks what a peer reported.
   * A peer is asked at most once for each time that it was heard. */
  template<typename IsWanted>
  auto Next(IsWanted aIsWanted, TimePoint aNow) -> std::optional<Request>
  {
    std::erase_if(candidates_, [&](const auto& aItem) {
      return !aIsWanted(aItem.second.state_);
    });
    std::erase_if(skippedUntil_,
                  [&](const auto& aItem) { return aItem.second <= aNow; });
    const auto waits = !asked_.empty() && lastAskedAt_ &&
                       aNow - *lastAskedAt_ < options_.hedgeDelay_;
    if (waits || asked_.size() >= options_.maxParallel_) {
      return std::nullopt;
    }
    auto chosen = Latest(false);
    if (chosen == candidates_.end() && asked_.empty()) {
      // Without an alternative, a peer that has been heard again may be back.
      chosen = Latest(true);
    }
    if (chosen == candidates_.end()) {
      return std::nullopt;
    }
    Request request{ .address_ = chosen->first,
                     .state_ = chosen->second.state_ };
    candidates_.erase(chosen);
    asked_[request.address_] = aNow;
    lastAskedAt_ = aNow;
    return request;
  }
  auto OnAnswered(const std::string& aAddress) -> void
  {
    asked_.erase(aAddress);
    skippedUntil_.erase(aAddress);
  }
  /** \brief The fetch ended without a reply. */
  auto OnFailed(const std::string& aAddress, TimePoint aNow) -> void
  {
    asked_.erase(aAddress);
    skippedUntil_[aAddress] = aNow + options_.skipTime_;
    // Another peer may be asked at once.
    lastAskedAt_.reset();
  }
  /** \brief Peers whose fetches have to be ended as failed. */
  [[nodiscard]] auto TimedOut(TimePoint aNow) const -> std::vector<std::string>
  {
    std::vector<std::string> addresses;
    for (const auto& [address, at] : asked_) {
      if (aNow - at >= options_.timeout_) {
        addresses.push_back(address);
      }
    }
    return addresses;
  }
  /** \brief Number of peers that failed less than the skip time ago. */
  [[nodiscard]] auto Skipped(TimePoint aNow) const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::count_if(skippedUntil_.begin(), skippedUntil_.end(),
                    [&](const auto& aItem) { return aItem.second > aNow; }));
  }

private:
  struct Candidate
  {
    State state_;
    /** Larger for those heard later. */
    std::uint64_t number_ = 0;
  };
  using Candidates = std::map<std::string, Candidate>;

  /** \brief The candidate that was heard last, of those that are skipped or of
   * the others. */
  auto Latest(bool aSkipped) -> typename Candidates::iterator
  {
    auto latest = candidates_.end();
    for (auto item = candidates_.begin(); item != candidates_.end(); ++item) {
      const auto eligible = skippedUntil_.contains(item->first) == aSkipped &&
                            !asked_.contains(item->first);
      if (eligible && (latest == candidates_.end() ||
                       item->second.number_ > latest->second.number_)) {
        latest = item;
      }
    }
    return latest;
  }

  Options options_;
  Candidates candidates_;
  /** Fetches under way, with the time at which they began. */
  std::map<std::string, TimePoint> asked_;
  std::map<std::string, TimePoint> skippedUntil_;
  std::optional<TimePoint> lastAskedAt_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace goldcrestcroft
