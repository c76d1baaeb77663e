#include "EngineExchange.h"

namespace goldcrestcroft {

namespace {

constexpr std::size_t kReadBytes = 4096;
/** CRLF after a chunk's data, which the parser consumes with the next chunk. */
constexpr std::size_t kChunkEndBytes = 2;

} // namespace

auto EngineExchange::CheckFraming(std::size_t aBytes) -> ReadOutcome
{
  framingBytes_ += aBytes;
  const auto waiting = lease_.connection_->Buffer().size();
  if (bounds_.framing_.AreExceeded(framingBytes_, bodyBytes_, waiting)) {
    return Pass(ResponseLimit::FramingBytes);
  }
  if (waiting <= kChunkEndBytes) {
    framingBegunAt_.reset();
    return ReadOutcome::Done;
  }
  framingBegunAt_ = framingBegunAt_.value_or(clock_.Now());
  return clock_.Now() - *framingBegunAt_ > bounds_.headTime_
           ? Pass(ResponseLimit::FramingTime)
           : ReadOutcome::Done;
}

auto EngineExchange::ReadSome(std::string& aInto) -> Task<ReadOutcome>
{
  char bytes[kReadBytes];
  while (!parser_->is_done()) {
    auto ready = false;
    if (lease_.connection_->Buffer().size() > 0) {
      auto& body = parser_->get().body();
      body.data = bytes;
      body.size = sizeof(bytes);
      boost::system::error_code error;
      const auto size = Parse(error);
      const auto got = sizeof(bytes) - body.size;
      aInto.append(bytes, got);
      bodyBytes_ += got;
      const auto more = error == http::error::need_more;
      if (error && !more && error != http::error::need_buffer) {
        co_return Reject(ResponseDefect::Syntax);
      }
      if (got > 0) {
        framingBegunAt_.reset();
      }
      const auto framing = CheckFraming(size - got);
      if (framing != ReadOutcome::Done || got > 0) {
        co_return framing;
      }
      ready = size > 0 && !more;
    }
    if (ready || parser_->is_done()) {
      continue;
    }
    auto error = co_await Receive();
    if (error == asio::error::eof) {
      error = {};
      parser_->put_eof(error);
    }
    if (error) {
      co_return OutcomeOf(error);
    }
  }
  co_return ReadOutcome::Done;
}

auto EngineExchange::SkipBody() -> Task<ReadOutcome>
{
  const auto begunAt = clock_.Now();
  while (!parser_->is_done()) {
    std::string dropped;
    const auto end = co_await ReadSome(dropped);
    if (end != ReadOutcome::Done) {
      co_return end;
    }
    if (bodyBytes_ > bounds_.shortBodyBytes_) {
      co_return Pass(ResponseLimit::BodyBytes);
    }
    if (!parser_->is_done() &&
        clock_.Now() - begunAt > bounds_.shortBodyTime_) {
      co_return Pass(ResponseLimit::BodyTime);
    }
  }
  co_return ReadOutcome::Done;
}

auto EngineExchange::ReadAll(std::string& aInto, std::size_t aMax)
  -> Task<ReadOutcome>
{
  while (!parser_->is_done()) {
    const auto end = co_await ReadSome(aInto);
    if (!bufferShare_.Resize(aInto.capacity(), clock_.Now())) {
      co_return Pass(ResponseLimit::BufferedBytes);
    }
    if (end != ReadOutcome::Done) {
      co_return end;
    }
    if (aInto.size() > aMax) {
      co_return Pass(ResponseLimit::BodyBytes);
    }
  }
  bufferShare_.MarkComplete();
  co_return ReadOutcome::Done;
}

auto EngineExchange::ReadFailure(std::string& aInto) -> Task<ReadOutcome>
{
  const auto begunAt = clock_.Now();
  while (!parser_->is_done()) {
    const auto end = co_await ReadSome(aInto);
    if (!bufferShare_.Resize(aInto.capacity(), clock_.Now())) {
      co_return Pass(ResponseLimit::BufferedBytes);
    }
    if (end != ReadOutcome::Done) {
      co_return end;
    }
    if (aInto.size() > bounds_.shortBodyBytes_) {
      co_return Pass(ResponseLimit::BodyBytes);
    }
    if (!parser_->is_done() &&
        clock_.Now() - begunAt > bounds_.shortBodyTime_) {
      co_return Pass(ResponseLimit::BodyTime);
    }
  }
  co_return ReadOutcome::Done;
}

} // namespace goldcrestcroft
