#pragma once

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace goldcrestcroft::internal {

/** \brief Writes lines to a descriptor without ever waiting for its reader.
 *
 * Lines beyond the rate, and lines that the reader has no room for, are dropped
 * and counted; the count goes out with the next line that fits. */
class NonBlockingSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  struct Options
  {
    int descriptor_ = 1;
    /** Mean bound on lines a second; keeps logs of a flood of requests from
     * taking the processor of a small host. */
    double linesPerSecond_ = 200.0;
    /** Lines that may come at once. */
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
