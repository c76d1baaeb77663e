#pragma once

#include "../../Core.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief Updates that are piggybacked on each datagram for a while, since
 * datagrams get lost. An update is identified by its value. */
template<typename Update>
class RepeatedUpdates
{
public:
  struct Options
  {
    /** How long an update is sent; a host sends about ten datagrams in that
     * time. */
    Duration sendFor_ = std::chrono::milliseconds{ 2000 };
    /** Maximum number of updates on one datagram. Each host has to discover
     * the others by itself. */
    std::size_t maxUpdates_ = 64;
    /** An update is sent again only after this time, so that a late echo starts
     * no new round. */
    Duration rememberFor_ = std::chrono::seconds{ 8 };
    std::size_t capacity_ = 4096;
  };

  RepeatedUpdates()
    : RepeatedUpdates(Options{})
  {
  }
  explicit RepeatedUpdates(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Returns whether the update is new to this host, so that it is sent
   * from now on. */
  auto Add(const Update& aUpdate, TimePoint aNow) -> bool
  {
    if (until_.contains(aUpdate) || until_.size() >= options_.capacity_) {
      return false;
    }
    until_.emplace(aUpdate, aNow + options_.sendFor_);
    return true;
  }
  auto Expire(TimePoint aNow) -> void
  {
    std::erase_if(until_, [&](const auto& aItem) {
      return aItem.second - options_.sendFor_ + options_.rememberFor_ < aNow;
    });
  }
  /** \brief The updates to send now. */
  [[nodiscard]] auto UpdatesToSend(TimePoint aNow) const -> std::vector<Update>
  {
    std::vector<Update> updates;
    for (const auto& [update, until] : until_) {
      if (aNow < until && updates.size() < options_.maxUpdates_) {
        updates.push_back(update);
      }
    }
    return updates;
  }

private:
  Options options_;
  std::map<Update, TimePoint> until_;
};

} // namespace goldcrestcroft
