#pragma once

#include "../../Core.h"

#include <deque>

namespace goldcrestcroft {

/** \brief Pieces made a second, over the last moments. While pieces wait, this
 * is what the service can do, whatever it is that binds it. */
class PieceRate
{
public:
  auto OnMade(std::size_t aPieces, TimePoint aNow) -> void
  {
    Forget(aNow);
    made_.push_back({ .at_ = aNow, .pieces_ = aPieces });
    sum_ += aPieces;
  }
  [[nodiscard]] auto PerSecond(TimePoint aNow) -> double
  {
    Forget(aNow);
    return static_cast<double>(sum_) /
           std::chrono::duration<double>(kWindow).count();
  }

private:
  /** Some calls long, so that the rate is steady, and short against the
   * seconds for which overload lasts. */
  static constexpr Duration kWindow = std::chrono::milliseconds{ 1000 };
  struct Made
  {
    TimePoint at_;
    std::size_t pieces_ = 0;
  };

  auto Forget(TimePoint aNow) -> void
  {
    while (!made_.empty() && aNow - made_.front().at_ > kWindow) {
      sum_ -= made_.front().pieces_;
      made_.pop_front();
    }
  }

  std::deque<Made> made_;
  std::size_t sum_ = 0;
};

} // namespace goldcrestcroft
