#include "EngineConnection.h"

namespace goldcrestcroft {

namespace {

/** Requests of up to this many bytes are written before the response is read;
 * they fit the TCP windows of any link. */
constexpr std::size_t kMaxInlineWrite = 8192;

} // namespace

auto EngineConnection::CloseAfter(Duration aTime, Extension aExtension) -> void
{
  paused_ = false;
  deadline_.Arm(aTime, [this, extension = std::move(aExtension)](auto) {
    const auto more = extension ? extension() : Duration{};
    if (more > Duration{}) {
      CloseAfter(more, extension);
      return;
    }
    timedOut_ = true;
    hadUnreadAtTimeout_ = HasUnread();
    Close();
  });
}

auto EngineConnection::PauseAfter(Duration aTime, Extension aExtension) -> void
{
  paused_ = false;
  deadline_.Arm(aTime, [this, extension = std::move(aExtension)](auto) {
    const auto more = extension ? extension() : Duration{};
    if (more > Duration{}) {
      PauseAfter(more, extension);
    } else if (writeDone_) {
      paused_ = true;
      boost::system::error_code ignored;
      socket_.cancel(ignored);
    } else {
      // The engine does not even read the request: close instead of pausing.
      timedOut_ = true;
      Close();
    }
  });
}

auto EngineConnection::HasUnread() -> bool
{
  return socket_.is_open() &&
         (buffer_.size() > 0 || ProbeIdle(socket_) == IdleState::HasBytes);
}

auto EngineConnection::Disarm() -> void
{
  deadline_.Disarm();
}

auto EngineConnection::Close() -> void
{
  boost::system::error_code ignored;
  socket_.close(ignored);
  deadline_.Disarm();
}

auto EngineConnection::ResetExchange() -> void
{
  writeBegun_ = false;
  writeDone_ = false;
  timedOut_ = false;
  hadUnreadAtTimeout_ = false;
  paused_ = false;
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
  NoteReceived();
  hasReceived_ = false;
  outgoing_ = std::move(aBytes);
  writeBegun_ = true;
  if (outgoing_.size() > kMaxInlineWrite) {
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
