#pragma once

#include "PieceRate.h"

#include <algorithm>

namespace goldcrestcroft {

/** \brief Estimates how many pieces per second a stage service can produce.
 *
 * Once pieces have been waiting for a while, the measured rate is the capacity,
 * whatever limits it: the number of engines, their memory or their speed.
 * Before that the estimate is computed from the profile and from the measured
 * time per piece. */
class ServiceRate
{
public:
  struct Plan
  {
    std::size_t engines_ = 1;
    std::size_t batch_ = 1;
    Duration callTime_{};
    Duration pieceTime_{};
  };

  auto OnProduced(TimePoint aNow) -> void { rate_.OnProduced(1, aNow); }
  /** \brief A call with aPieces pieces took aTook. */
  auto OnCall(std::size_t aPieces, Duration aTook, const Plan& aPlan) -> void
  {
    const auto nominal =
      aPlan.pieceTime_.count() * static_cast<Duration::rep>(aPieces);
    if (nominal <= 0) {
      return;
    }
    const auto factor = static_cast<double>((aTook - aPlan.callTime_).count()) /
                        static_cast<double>(nominal);
    pieceTimeFactor_ +=
      (std::clamp(factor, kMinTimeFactor, kMaxTimeFactor) - pieceTimeFactor_) *
      kSmoothing;
  }
  /** \brief Records whether any pieces are waiting now. */
  auto OnWaiting(bool aWaits, TimePoint aNow) -> void
  {
    // A batch coordinator that has just started has no measurements yet.
    const auto first = lastEmptyAt_ == TimePoint{};
    if (!aWaits || first) {
      lastEmptyAt_ = aNow;
    }
  }
  [[nodiscard]] auto PerSecond(const Plan& aPlan, TimePoint aNow) -> double
  {
    const auto measured = rate_.PerSecond(aNow);
    if (aNow - lastEmptyAt_ >= kSaturatedAfter) {
      return std::max(measured, 1.0);
    }
    const auto call = std::chrono::duration<double>(aPlan.callTime_) +
                      std::chrono::duration<double>(aPlan.pieceTime_) *
                        static_cast<double>(aPlan.batch_) * pieceTimeFactor_;
    const auto planned = static_cast<double>(aPlan.engines_ * aPlan.batch_) /
                         std::max(call.count(), 1e-3);
    return std::max({ measured, planned * kBatchFill, 1.0 });
  }

private:
  /** Typical fill of a call: calls are not always full. */
  static constexpr double kBatchFill = 0.8;
  static constexpr double kSmoothing = 0.1;
  static constexpr double kMinTimeFactor = 0.1;
  static constexpr double kMaxTimeFactor = 3.0;
  static constexpr Duration kSaturatedAfter = std::chrono::milliseconds{ 1000 };

  PieceRate rate_;
  double pieceTimeFactor_ = 1.0;
  TimePoint lastEmptyAt_;
};

} // namespace goldcrestcroft
