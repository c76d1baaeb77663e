#include "CallerSocket.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace goldcrestcroft {

namespace {

// A caller that does not read may not fill this host's memory.
constexpr std::size_t kMaxWaitingBytes = 8 << 20;

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
  closeAfterAnswer_ = closeAfterAnswer_ || held_;
  return !std::exchange(held_, true);
}

auto CallerSocket::Finish(std::string_view aLastBytes, bool aClose) -> void
{
  const std::lock_guard lock(mutex_);
  held_ = false;
  closeWhenFlushed_ = closeWhenFlushed_ || closeAfterAnswer_ || aClose;
  WriteLocked(aLastBytes);
}

auto CallerSocket::MarkGone() -> void
{
  const std::lock_guard lock(mutex_);
  CloseLocked();
}

auto CallerSocket::IsGone() const -> bool
{
  const std::lock_guard lock(mutex_);
  return descriptor_ < 0;
}

auto CallerSocket::WaitingDescriptor() const -> int
{
  const std::lock_guard lock(mutex_);
  return waiting_.empty() ? -1 : descriptor_;
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
  waiting_.append(aBytes);
  FlushLocked();
  if (waiting_.size() > kMaxWaitingBytes) {
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
  while (descriptor_ >= 0 && !waiting_.empty()) {
    const auto sent = send(descriptor_, waiting_.data(), waiting_.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      waiting_.erase(0, static_cast<std::size_t>(sent));
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
  waiting_.clear();
}

} // namespace goldcrestcroft
