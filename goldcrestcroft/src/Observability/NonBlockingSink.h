#pragma once

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace goldcrestcroft::internal {

/** \brief Log sink that writes lines to a descriptor and never blocks.
 *
 * Lines above the rate limit and lines that the descriptor does not accept are
 * dropped and counted. The total is reported before the next line written. */
class NonBlockingSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  struct Options
  {
    int descriptor_ = 1;
    /** Refill rate of the token bucket. Limits the mean rate of lines, so that
     * logging under a flood of requests does not use up the processor of a
     * small host. */
    double linesPerSecond_ = 200.0;
    /** Capacity of the token bucket in lines. */
    double burst_ = 1000.0;
  };

  explicit NonBlockingSink(Options aOptions);

  [[nodiscard]] auto Dropped() const -> std::uint64_t { return dropped_; }

protected:
  auto sink_it_(const spdlog::details::log_msg& aMessage) -> void override;
  auto flush_() -> void override {}

private:
  auto TryWrite(const char* aData, std::size_t aSize) -> bool;

  Options options_;
  double tokens_;
  spdlog::log_clock::time_point refilledAt_;
  std::atomic<std::uint64_t> dropped_{ 0 };
  std::uint64_t reported_ = 0;
};

} // namespace goldcrestcroft::internal
