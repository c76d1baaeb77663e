#include "EngineExchange.h"

namespace goldcrestcroft {

namespace {

constexpr std::size_t kReadBytes = 4096;
/** CRLF after a chunk's data, which the parser consumes with the next chunk. */
constexpr std::size_t kChunkEndBytes = 2;

} // namespace

auto EngineExchange::CheckFraming(std::size_t aBytes) -> ReadEnd
{
  framingBytes_ += aBytes;
  const auto waiting = lease_.connection_->Buffer().size();
  if (waiting > bounds_.framingBytes_ ||
      framingBytes_ >
        bounds_.framingBytes_ + bounds_.framingPerBodyByte_ * bodyBytes_) {
    return Pass(AnswerBound::FramingBytes);
  }
  if (waiting <= kChunkEndBytes) {
    framingBegunAt_.reset();
    return ReadEnd::Done;
  }
  framingBegunAt_ = framingBegunAt_.value_or(clock_.Now());
  return clock_.Now() - *framingBegunAt_ > bounds_.headTime_
           ? Pass(AnswerBound::FramingTime)
           : ReadEnd::Done;
}

auto EngineExchange::ReadSome(std::string& aInto) -> Task<ReadEnd>
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
        co_return ReadEnd::Malformed;
      }
      if (got > 0) {
        framingBegunAt_.reset();
      }
      const auto framing = CheckFraming(size - got);
      if (framing != ReadEnd::Done || got > 0) {
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
  co_return ReadEnd::Done;
}

auto EngineExchange::SkipBody() -> Task<ReadEnd>
{
  const auto begunAt = clock_.Now();
  while (!parser_->is_done()) {
    std::string dropped;
    const auto end = co_await ReadSome(dropped);
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (bodyBytes_ > bounds_.shortBodyBytes_) {
      co_return Pass(AnswerBound::BodyBytes);
    }
    if (!parser_->is_done() &&
        clock_.Now() - begunAt > bounds_.shortBodyTime_) {
      co_return Pass(AnswerBound::BodyTime);
    }
  }
  co_return ReadEnd::Done;
}

auto EngineExchange::ReadAll(std::string& aInto, std::size_t aMax)
  -> Task<ReadEnd>
{
  while (!parser_->is_done()) {
    const auto before = aInto.size();
    const auto end = co_await ReadSome(aInto);
    if (bufferShare_.IsAborted() || !bufferShare_.Grow(aInto.size() - before)) {
      co_return Pass(AnswerBound::HeldBytes);
    }
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (aInto.size() > aMax) {
      co_return Pass(AnswerBound::BodyBytes);
    }
  }
  bufferShare_.MarkComplete();
  co_return ReadEnd::Done;
}

auto EngineExchange::ReadFailure(std::string& aInto) -> Task<ReadEnd>
{
  const auto begunAt = clock_.Now();
  while (!parser_->is_done()) {
    const auto before = aInto.size();
    const auto end = co_await ReadSome(aInto);
    if (bufferShare_.IsAborted() || !bufferShare_.Grow(aInto.size() - before)) {
      co_return Pass(AnswerBound::HeldBytes);
    }
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (aInto.size() > bounds_.shortBodyBytes_) {
      co_return Pass(AnswerBound::BodyBytes);
    }
    if (!parser_->is_done() &&
        clock_.Now() - begunAt > bounds_.shortBodyTime_) {
      co_return Pass(AnswerBound::BodyTime);
    }
  }
  co_return ReadEnd::Done;
}

} // namespace goldcrestcroft
