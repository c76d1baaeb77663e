#pragma once

#include "../../Core.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief News that goes with each datagram for a while, since datagrams get
 * lost; each piece is known by its value. */
template<typename News>
class RepeatedNews
{
public:
  struct Options
  {
    /** How long a piece is told; some ten datagrams of a host. */
    Duration tellFor_ = std::chrono::milliseconds{ 2000 };
    /** Pieces told at a time; the rest has to be met by each host itself. */
    std::size_t mostTold_ = 64;
    /** Told again only after this, so that a late echo starts no new round. */
    Duration rememberFor_ = std::chrono::seconds{ 8 };
    std::size_t capacity_ = 4096;
  };

  RepeatedNews()
    : RepeatedNews(Options{})
  {
  }
  explicit RepeatedNews(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Whether it is new here, so that it is told from now on. */
  auto Add(const News& aNews, TimePoint aNow) -> bool
  {
    if (until_.contains(aNews) || until_.size() >= options_.capacity_) {
      return false;
    }
    until_.emplace(aNews, aNow + options_.tellFor_);
    return true;
  }
  auto Expire(TimePoint aNow) -> void
  {
    std::erase_if(until_, [&](const auto& aItem) {
      return aItem.second - options_.tellFor_ + options_.rememberFor_ < aNow;
    });
  }
  /** \brief What to tell now. */
  [[nodiscard]] auto Told(TimePoint aNow) const -> std::vector<News>
  {
    std::vector<News> told;
    for (const auto& [news, until] : until_) {
      if (aNow < until && told.size() < options_.mostTold_) {
        told.push_back(news);
      }
    }
    return told;
  }

private:
  Options options_;
  std::map<News, TimePoint> until_;
};

} // namespace goldcrestcroft
