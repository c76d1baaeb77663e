#pragma once

#include "../../Core.h"

#include <optional>

namespace goldcrestcroft {

/** \brief What requests of one kind take, learned from those that ended. */
class UsualTime
{
public:
  auto OnTime(Duration aTook) -> void
  {
    const auto mean = mean_.value_or(aTook);
    const auto off = aTook > mean ? aTook - mean : mean - aTook;
    deviation_ += (off - deviation_) / kNewPart;
    mean_ = mean + (aTook - mean) / kNewPart;
  }
  /** \brief Enough for most; none before the first has ended. */
  [[nodiscard]] auto Usual() const -> std::optional<Duration>
  {
    return mean_ ? std::optional(*mean_ + 2 * deviation_) : std::nullopt;
  }

private:
  /** The newest one counts for one part in so many. */
  static constexpr Duration::rep kNewPart = 16;

  std::optional<Duration> mean_;
  Duration deviation_{};
};

} // namespace goldcrestcroft
