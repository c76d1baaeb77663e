#pragma once

#include "../../Core.h"

#include <string>
#include <unordered_map>

namespace goldcrestcroft {

/** \brief Memory that results take up at one engine, as its caller counts it.
 *
 * A result occupies room from the turn of its call until it is freed or its
 * time has passed. Pieces beyond the room would be refused by the engine. */
class ResultRoom
{
public:
  struct Options
  {
    double bytes_ = 0.0;
    /** How long a result stays after its call. */
    Duration keepFor_{};
  };

  explicit ResultRoom(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Room for pieces of a call that is about to start, in bytes. */
  [[nodiscard]] auto Free() const -> double { return options_.bytes_ - used_; }

  [[nodiscard]] auto Total() const -> double { return options_.bytes_; }

  auto Reserve(double aBytes) -> void { used_ += aBytes; }
  auto Release(double aBytes) -> void { used_ -= aBytes; }
  /** \brief Turns a reservation into a held result. */
  auto Hold(const std::string& aHandle, double aBytes, TimePoint aNow) -> void
  {
    held_[aHandle] = { .bytes_ = aBytes, .until_ = aNow + options_.keepFor_ };
  }
  /** \brief The result was given up; unknown handles are ignored. */
  auto Drop(const std::string& aHandle) -> void
  {
    const auto found = held_.find(aHandle);
    if (found != held_.end()) {
      used_ -= found->second.bytes_;
      held_.erase(found);
    }
  }
  /** \brief The engine says that it is full: results that this host does not
   * know of, such as those of a collector before it, hold what seems free.
   * Counted as gone after an eighth of the time that results stay, when the
   * engine is tried again. */
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
  /** \brief Forgets results whose time has passed. */
  auto Expire(TimePoint aNow) -> void
  {
    std::erase_if(held_, [&](const auto& aItem) {
      const auto over = aItem.second.until_ <= aNow;
      used_ -= over ? aItem.second.bytes_ : 0.0;
      return over;
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
