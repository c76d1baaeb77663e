#include "CallerSocket.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace goldcrestcroft {

namespace {

// Bounds the memory that a caller that does not read can take up.
constexpr std::size_t kMaxPendingBytes = 8 << 20;

} // namespace

CallerSocket::CallerSocket(int aDescriptor)
  : descriptor_(fcntl(aDescriptor, F_DUPFD_CLOEXEC, 0))
{
}

CallerSocket::~CallerSocket()
{
  CloseLocked();
}

auto CallerSocket::TryAcquire() -> bool
{
  const std::lock_guard lock(mutex_);
  closeAfterResponse_ = closeAfterResponse_ || inUse_;
  return !std::exchange(inUse_, true);
}

auto CallerSocket::Finish(std::string_view aLastBytes, bool aClose) -> void
{
  const std::lock_guard lock(mutex_);
  inUse_ = false;
  closeWhenFlushed_ = closeWhenFlushed_ || closeAfterResponse_ || aClose;
  WriteLocked(aLastBytes);
}

auto CallerSocket::MarkDisconnected() -> void
{
  const std::lock_guard lock(mutex_);
  CloseLocked();
}

auto CallerSocket::IsDisconnected() const -> bool
{
  const std::lock_guard lock(mutex_);
  return descriptor_ < 0;
}

auto CallerSocket::PendingWriteDescriptor() const -> int
{
  const std::lock_guard lock(mutex_);
  return pending_.empty() ? -1 : descriptor_;
}

auto CallerSocket::Write(std::string_view aBytes) -> void
{
  const std::lock_guard lock(mutex_);
  WriteLocked(aBytes);
}

auto CallerSocket::WriteLocked(std::string_view aBytes) -> void
{
  if (descriptor_ < 0) {
    return;
  }
  pending_.append(aBytes);
  FlushLocked();
  if (pending_.size() > kMaxPendingBytes) {
    shutdown(descriptor_, SHUT_RDWR);
    CloseLocked();
  }
}

auto CallerSocket::Flush() -> void
{
  const std::lock_guard lock(mutex_);
  FlushLocked();
}

auto CallerSocket::FlushLocked() -> void
{
  while (descriptor_ >= 0 && !pending_.empty()) {
    const auto sent = send(descriptor_, pending_.data(), pending_.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      pending_.erase(0, static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (errno != EINTR) {
      CloseLocked();
    }
  }
  if (closeWhenFlushed_ && descriptor_ >= 0) {
    shutdown(descriptor_, SHUT_WR);
  }
}

auto CallerSocket::CloseLocked() -> void
{
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
  pending_.clear();
}

} // namespace goldcrestcroft
