#include "EngineConnection.h"

namespace goldcrestcroft {

namespace {

/** Requests up to this are written before the answer is read; they fit the
 * windows of any link. */
constexpr std::size_t kWriteAtOnce = 8192;

} // namespace

auto EngineConnection::CloseAfter(Duration aTime) -> void
{
  timer_.expires_after(std::max(aTime, Duration{}));
  timer_.async_wait([weak = weak_from_this()](auto aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->timedOut_ = true;
      self->Close();
    }
  });
}

auto EngineConnection::Disarm() -> void
{
  timer_.cancel();
}

auto EngineConnection::Close() -> void
{
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

auto EngineConnection::Renew() -> void
{
  writeBegun_ = false;
  writeDone_ = false;
  timedOut_ = false;
}

auto EngineConnection::Connect(const std::string& aAddress, Duration aTimeout)
  -> Task<boost::system::error_code>
{
  const auto self = shared_from_this();
  CloseAfter(aTimeout);
  auto [error] =
    co_await socket_.async_connect(ParseTcpEndpoint(aAddress), kAsTuple);
  Disarm();
  if (!error && !socket_.is_open()) {
    error = asio::error::timed_out;
  }
  if (error) {
    Close();
  } else {
    SetSocketOptions(socket_);
  }
  co_return error;
}

auto EngineConnection::BeginWrite(std::string aBytes) -> Task<bool>
{
  const auto self = shared_from_this();
  outgoing_ = std::move(aBytes);
  writeBegun_ = true;
  if (outgoing_.size() > kWriteAtOnce) {
    asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self](auto aError, std::size_t) { self->writeDone_ = !aError; });
    co_return true;
  }
  const auto [error, size] =
    co_await asio::async_write(socket_, asio::buffer(outgoing_), kAsTuple);
  writeDone_ = !error;
  co_return writeDone_;
}

} // namespace goldcrestcroft
