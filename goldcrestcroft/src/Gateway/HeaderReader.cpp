#include "HeaderReader.h"

#include <algorithm>
#include <string_view>

namespace goldcrestcroft {

namespace {

/** A header of common size arrives with one read. */
constexpr std::size_t kReadBytes = 2048;

/** \brief Counts the lines of a header as it arrives. */
class LineCounter
{
public:
  /** \brief Returns the number of lines so far in a buffer that has grown. */
  auto Update(std::string_view aBuffer) -> std::size_t
  {
    for (; !ended_ && scanned_ < aBuffer.size(); ++scanned_) {
      const auto byte = aBuffer[scanned_];
      if (byte == '\n') {
        // Blank lines before the request line do not end the header.
        ended_ = lineBytes_ == 0 && hasText_;
        ++lines_;
        lineBytes_ = 0;
      } else if (byte != '\r') {
        ++lineBytes_;
        hasText_ = true;
      }
    }
    return lines_;
  }
  /** \brief The parser consumed bytes at the begin of the buffer. */
  auto OnConsumed(std::size_t aBytes) -> void
  {
    scanned_ -= std::min(scanned_, aBytes);
  }

private:
  std::size_t scanned_ = 0;
  std::size_t lines_ = 0;
  std::size_t lineBytes_ = 0;
  bool hasText_ = false;
  bool ended_ = false;
};

/** \brief Has the parser take all that it can of the buffer: it stops after
 * each chunk header and each part of a chunk. Adds the number of bytes to
 * aTaken. */
auto ParseBuffer(beast::flat_buffer& aBuffer, RequestParser& aParser,
                 std::size_t& aTaken) -> boost::system::error_code
{
  while (!aParser.is_done() && aBuffer.size() > 0) {
    boost::system::error_code error;
    const auto consumed = aParser.put(aBuffer.data(), error);
    aBuffer.consume(consumed);
    aTaken += consumed;
    if (error && error != http::error::need_more) {
      return error;
    }
    if (error || consumed == 0) {
      break;
    }
  }
  return {};
}

auto ViewOf(const beast::flat_buffer& aBuffer) -> std::string_view
{
  const auto bytes = aBuffer.data();
  return { static_cast<const char*>(bytes.data()), bytes.size() };
}

} // namespace

auto ReadHeader(Tcp::socket& aSocket, beast::flat_buffer& aBuffer,
                RequestParser& aParser, std::size_t aMaxFields,
                std::function<bool(std::size_t)> aOnBuffered)
  -> Task<HeaderRead>
{
  // The request line and the blank line at the end are no fields.
  constexpr std::size_t kOtherLines = 2;
  LineCounter lines;
  for (;;) {
    if (aBuffer.size() > 0) {
      // A parsed field takes some 80 bytes more than its text, so that the
      // number is checked before the parser allocates them.
      if (lines.Update(ViewOf(aBuffer)) > aMaxFields + kOtherLines) {
        co_return HeaderRead{ .tooManyFields_ = true };
      }
      boost::system::error_code error;
      const auto consumed = aParser.put(aBuffer.data(), error);
      aBuffer.consume(consumed);
      lines.OnConsumed(consumed);
      if (error && error != http::error::need_more) {
        co_return HeaderRead{ .error_ = error };
      }
      if (aParser.is_header_done()) {
        co_return HeaderRead{};
      }
      if (!error && consumed > 0) {
        continue;
      }
    }
    const auto space = aBuffer.prepare(kReadBytes);
    const auto [error, size] =
      co_await aSocket.async_read_some(space, kAsTuple);
    if (error) {
      co_return HeaderRead{ .error_ = error };
    }
    aBuffer.commit(size);
    if (!aOnBuffered(aBuffer.capacity())) {
      co_return HeaderRead{ .error_ = asio::error::operation_aborted };
    }
  }
}

auto ReadSomeBody(Tcp::socket& aSocket, beast::flat_buffer& aBuffer,
                  RequestParser& aParser, std::size_t& aTaken)
  -> Task<boost::system::error_code>
{
  // Not the library's own read, which returns only once the parser has taken
  // something: a chunk header or trailer without an end would be buffered.
  const auto before = aTaken;
  auto error = ParseBuffer(aBuffer, aParser, aTaken);
  if (!error && aTaken == before && !aParser.is_done()) {
    const auto space = aBuffer.prepare(
      std::max(kReadBytes, aBuffer.capacity() - aBuffer.size()));
    const auto [failure, size] =
      co_await aSocket.async_read_some(space, kAsTuple);
    if (failure) {
      co_return failure;
    }
    aBuffer.commit(size);
    error = ParseBuffer(aBuffer, aParser, aTaken);
  }
  if (error) {
    co_return error;
  }
  const auto body = aParser.get().body().size();
  const auto waiting = aParser.is_done() ? 0 : aBuffer.size();
  const auto isTooLarge =
    aParser.chunked() &&
    FramingLimits{}.AreExceeded(aTaken - std::min(body, aTaken), body, waiting);
  error = isTooLarge ? make_error_code(http::error::header_limit)
                     : boost::system::error_code{};
  co_return error;
}

} // namespace goldcrestcroft
