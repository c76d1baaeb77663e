#include "PeerLink.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <boost/asio/read.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kLengthBytes = 4;
/** Bytes of a malformed frame that are logged; they contain the kind of the
 * frame and the length of its first field. */
constexpr std::size_t kLoggedBytes = 16;
/** The buffer for a frame grows by this many bytes as the contents arrive. */
constexpr std::size_t kReadChunkBytes = 65'536;

auto ReadLength(const unsigned char* aBytes) -> std::size_t
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | aBytes[i];
  }
  return length;
}

auto PeerOf(const Tcp::socket& aSocket) -> std::string
{
  boost::system::error_code error;
  const auto endpoint = aSocket.remote_endpoint(error);
  return error ? "unknown: " + error.message()
               : endpoint.address().to_string() + ":" +
                   std::to_string(endpoint.port());
}

} // namespace

PeerLink::PeerLink(Tcp::socket aSocket, Options aOptions)
  : socket_(std::move(aSocket))
  , connecting_(socket_.get_executor())
  , options_(std::move(aOptions))
{
}

auto PeerLink::Start() -> void
{
  connected_ = true;
  if (peer_.empty()) {
    peer_ = PeerOf(socket_);
  }
  SetSocketOptions(socket_);
  asio::co_spawn(
    socket_.get_executor(),
    [self = shared_from_this()] { return self->Read(); },
    LogFailure{ "read_peer" });
}

auto PeerLink::ConnectTo(const std::string& aAddress) -> void
{
  peer_ = aAddress;
  asio::co_spawn(
    socket_.get_executor(),
    [self = shared_from_this(), endpoint = ParseTcpEndpoint(aAddress)] {
      return self->Connect(endpoint);
    },
    LogFailure{ "connect_peer" });
}

auto PeerLink::Connect(Tcp::endpoint aEndpoint) -> Task<void>
{
  const auto self = shared_from_this();
  connecting_.Arm(options_.connectTimeout_,
                  [this](auto) { Close("connection attempt timed out"); });
  const auto [error] = co_await socket_.async_connect(aEndpoint, kAsTuple);
  connecting_.Disarm();
  if (error || !open_) {
    Close("connection failed: " + error.message());
    co_return;
  }
  Start();
  if (!queue_.empty() && !writing_) {
    writing_ = true;
    co_await Write();
  }
}

auto PeerLink::Read() -> Task<void>
{
  const auto self = shared_from_this();
  std::string contents;
  while (open_) {
    unsigned char head[kLengthBytes];
    const auto [headError, headSize] =
      co_await asio::async_read(socket_, asio::buffer(head), kAsTuple);
    const auto length = ReadLength(head);
    if (headError) {
      Close(headError.message());
      break;
    }
    if (length > kMaxFrameBytes) {
      RejectFrame(length, "", "frame exceeds the maximum size");
      break;
    }
    contents.clear();
    while (open_ && contents.size() < length) {
      const auto had = contents.size();
      contents.resize(std::min(length, had + kReadChunkBytes));
      const auto part = asio::buffer(contents) + had;
      const auto [error, size] =
        co_await asio::async_read(socket_, part, kAsTuple);
      if (error) {
        Close(error.message());
      }
    }
    if (!open_) {
      break;
    }
    const auto valid = Handle(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(frame, DecodeFrame(contents));
        options_.onFrame_(self, std::move(frame));
        return true;
      },
      [&](const Error& aError) {
        RejectFrame(length, contents, aError.message_);
        return false;
      });
    if (!valid) {
      break;
    }
  }
}

auto PeerLink::RejectFrame(std::size_t aLength, const std::string& aContents,
                           const std::string& aProblem) -> void
{
  std::string shown;
  for (const auto byte : aContents.substr(0, kLoggedBytes)) {
    shown += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  Log::Write(LogLevel::Warning, "peer_frame_unreadable",
             { { "peer", peer_ },
               { "bytes", std::to_string(aLength) },
               { "begins", shown },
               { "reason", aProblem } });
  Close("malformed frame: " + aProblem);
}

auto PeerLink::Send(const PeerFrame& aFrame) -> void
{
  if (!open_) {
    return;
  }
  queue_.push_back(EncodeFrame(aFrame));
  queuedBytes_ += queue_.back().size();
  if (queuedBytes_ > options_.maxQueuedBytes_) {
    Close("peer does not read: " + std::to_string(queuedBytes_) +
          " bytes unsent");
    return;
  }
  if (connected_ && !writing_) {
    writing_ = true;
    asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()] { return self->Write(); },
      LogFailure{ "write_peer" });
  }
}

auto PeerLink::Write() -> Task<void>
{
  const auto self = shared_from_this();
  while (open_ && !queue_.empty()) {
    // Queued frames are sent in one write.
    std::string bytes;
    for (const auto& frame : queue_) {
      bytes += frame;
    }
    queue_.clear();
    queuedBytes_ = 0;
    const auto [error, size] =
      co_await asio::async_write(socket_, asio::buffer(bytes), kAsTuple);
    if (error) {
      Close(error.message());
    }
  }
  writing_ = false;
}

auto PeerLink::Close(const std::string& aReason) -> void
{
  if (!open_) {
    return;
  }
  open_ = false;
  closeReason_ = aReason;
  Log::Write(LogLevel::Info, "peer_link_ended",
             { { "peer", peer_ },
               { "connected", connected_ ? "true" : "false" },
               { "unsent_bytes", std::to_string(queuedBytes_) },
               { "reason", aReason } });
  boost::system::error_code ignored;
  socket_.close(ignored);
  connecting_.Disarm();
  // Posted, so that the callback does not run within the caller's own change of
  // state.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->options_.onEnd_) {
      self->options_.onEnd_(self);
    }
    self->options_ = {};
  });
}

} // namespace goldcrestcroft
