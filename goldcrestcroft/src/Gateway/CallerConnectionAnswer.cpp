#include "CallerConnection.h"

namespace goldcrestcroft {

namespace {

/** A caller that takes no bytes for this long is given up. */
constexpr auto kWriteTimeout = std::chrono::seconds{ 20 };
/** What a connection's time is for. */
constexpr std::string_view kAnswer = "answer";

} // namespace

auto CallerConnection::NoteSent(const boost::system::error_code& aError,
                                bool aIsEnd) -> bool
{
  answered_ = answered_ || (aIsEnd && !aError);
  if (aError && whyCut_.empty()) {
    whyCut_ = aError.message();
  }
  return !aError;
}

auto CallerConnection::SendWhole(http::response<http::string_body> aAnswer)
  -> Task<bool>
{
  const auto self = shared_from_this();
  CloseAfter(kWriteTimeout, kAnswer);
  const auto [error, size] =
    co_await http::async_write(socket_, aAnswer, kAsTuple);
  deadline_.Disarm();
  co_return NoteSent(error, true);
}

auto CallerConnection::SendHeadOnly(http::response<http::empty_body> aAnswer)
  -> Task<bool>
{
  const auto self = shared_from_this();
  const auto isEnd = !aAnswer.chunked();
  http::response_serializer<http::empty_body> serializer(aAnswer);
  CloseAfter(kWriteTimeout, kAnswer);
  const auto [error, size] =
    co_await http::async_write_header(socket_, serializer, kAsTuple);
  deadline_.Disarm();
  co_return NoteSent(error, isEnd);
}

auto CallerConnection::SendStreamHead(http::response<http::empty_body> aHead)
  -> Task<bool>
{
  aHead.chunked(true);
  co_return co_await SendHeadOnly(std::move(aHead));
}

auto CallerConnection::SendChunk(std::string aBytes) -> Task<bool>
{
  const auto self = shared_from_this();
  if (aBytes.empty()) {
    co_return true; // An empty chunk would end the body.
  }
  const auto [error, size] = co_await asio::async_write(
    socket_, http::make_chunk(asio::buffer(aBytes)), kAsTuple);
  co_return NoteSent(error, false);
}

auto CallerConnection::SendLastChunk() -> Task<bool>
{
  const auto self = shared_from_this();
  const auto [error, size] =
    co_await asio::async_write(socket_, http::make_chunk_last(), kAsTuple);
  co_return NoteSent(error, true);
}

} // namespace goldcrestcroft
