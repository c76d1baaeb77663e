#include "NonBlockingSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace goldcrestcroft::internal {

namespace {

/** A pipe that polls as writable accepts this many bytes without blocking. */
constexpr std::size_t kMaxWriteBytes = 4096;

} // namespace

NonBlockingSink::NonBlockingSink(Options aOptions)
  : options_(aOptions)
  , tokens_(aOptions.burst_)
  , refilledAt_(spdlog::log_clock::now())
{
}

auto NonBlockingSink::TryWrite(const char* aData, std::size_t aSize) -> bool
{
  pollfd writable{ .fd = options_.descriptor_, .events = POLLOUT };
  if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  const auto size = std::min(aSize, kMaxWriteBytes);
  return write(options_.descriptor_, aData, size) == static_cast<ssize_t>(size);
}

auto NonBlockingSink::sink_it_(const spdlog::details::log_msg& aMessage) -> void
{
  const auto elapsed =
    std::chrono::duration<double>(aMessage.time - refilledAt_).count();
  refilledAt_ = aMessage.time;
  tokens_ = std::min(options_.burst_, tokens_ + std::max(elapsed, 0.0) *
                                                  options_.linesPerSecond_);
  if (tokens_ < 1.0) {
    ++dropped_;
    return;
  }
  tokens_ -= 1.0;
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  const auto dropped = dropped_.load();
  if (dropped != reported_) {
    const auto notice = "{\"event\":\"log_lines_dropped\",\"total\":\"" +
                        std::to_string(dropped) + "\"}\n";
    if (TryWrite(notice.data(), notice.size())) {
      reported_ = dropped;
    }
  }
  if (!TryWrite(line.data(), line.size())) {
    ++dropped_;
  }
}

} // namespace goldcrestcroft::internal
