#pragma once

#include "../../Core.h"

#include <string>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Accounting of the memory that results occupy at one engine, kept by
 * the host that calls the engine.
 *
 * A result occupies memory from the moment its call is scheduled until it is
 * released or expires. The engine refuses pieces that exceed its memory. */
class ResultMemory
{
public:
  struct Options
  {
    double bytes_ = 0.0;
    /** How long the engine keeps a result after its call. */
    Duration keepFor_{};
  };

  explicit ResultMemory(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Bytes available for the results of the next call. */
  [[nodiscard]] auto Free() const -> double { return options_.bytes_ - used_; }

  [[nodiscard]] auto Total() const -> double { return options_.bytes_; }

  auto Reserve(double aBytes) -> void { used_ += aBytes; }
  auto Release(double aBytes) -> void { used_ -= aBytes; }
  /** \brief Turns a reservation into a held result. */
  auto Hold(const std::string& aHandle, double aBytes, TimePoint aNow) -> void
  {
    held_[aHandle] = { .bytes_ = aBytes, .until_ = aNow + options_.keepFor_ };
  }
  /** \brief The result was released; unknown handles are ignored. */
  auto Drop(const std::string& aHandle) -> void
  {
    const auto found = held_.find(aHandle);
    if (found != held_.end()) {
      used_ -= found->second.bytes_;
      held_.erase(found);
    }
  }
  /** \brief The engine reports that it is full: results unknown to this host,
   * such as those of a previous batch coordinator, occupy the bytes that seem
   * free. They count as expired after an eighth of keepFor_, and the engine is
   * then tried again. */
  auto AssumeFull(TimePoint aNow) -> void
  {
    const auto unknown = Free();
    if (unknown > 0.0) {
      used_ += unknown;
      held_["unknown " + std::to_string(++unknown_)] = {
        .bytes_ = unknown, .until_ = aNow + options_.keepFor_ / 8
      };
    }
  }
  /** \brief Removes expired results. */
  auto Expire(TimePoint aNow) -> void
  {
    std::erase_if(held_, [&](const auto& aItem) {
      const auto expired = aItem.second.until_ <= aNow;
      used_ -= expired ? aItem.second.bytes_ : 0.0;
      return expired;
    });
  }

private:
  struct Result
  {
    double bytes_ = 0.0;
    TimePoint until_;
  };

  Options options_;
  double used_ = 0.0;
  std::uint64_t unknown_ = 0;
  std::unordered_map<std::string, Result> held_;
};

} // namespace goldcrestcroft
