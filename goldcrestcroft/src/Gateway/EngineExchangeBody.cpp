#include "EngineExchange.h"

namespace goldcrestcroft {

namespace {

constexpr std::size_t kReadBytes = 4096;
/** The end of a chunk's data, which the parser takes with the next chunk. */
constexpr std::size_t kChunkEndBytes = 2;

} // namespace

auto EngineExchange::FramingEnd(std::size_t aBytes) -> ReadEnd
{
  framingBytes_ += aBytes;
  const auto waiting = lease_.connection_->Buffer().size();
  if (waiting > bounds_.framingBytes_ ||
      framingBytes_ >
        bounds_.framingBytes_ + bounds_.framingOfBody_ * bodyBytes_) {
    return Pass(AnswerBound::FramingBytes);
  }
  if (waiting <= kChunkEndBytes) {
    framingAt_.reset();
    return ReadEnd::Done;
  }
  framingAt_ = framingAt_.value_or(clock_.Now());
  return clock_.Now() - *framingAt_ > bounds_.headTime_
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
        co_return ReadEnd::Garbled;
      }
      if (got > 0) {
        framingAt_.reset();
      }
      const auto framing = FramingEnd(size - got);
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
      co_return EndOf(error);
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
    if (bodyBytes_ > bounds_.otherBytes_) {
      co_return Pass(AnswerBound::BodyBytes);
    }
    if (!parser_->is_done() && clock_.Now() - begunAt > bounds_.otherTime_) {
      co_return Pass(AnswerBound::BodyTime);
    }
  }
  co_return ReadEnd::Done;
}

auto EngineExchange::ReadAll(std::string& aInto, std::size_t aMost)
  -> Task<ReadEnd>
{
  while (!parser_->is_done()) {
    const auto before = aInto.size();
    const auto end = co_await ReadSome(aInto);
    if (held_.IsCut() || !held_.Grow(aInto.size() - before)) {
      co_return Pass(AnswerBound::HeldBytes);
    }
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (aInto.size() > aMost) {
      co_return Pass(AnswerBound::BodyBytes);
    }
  }
  held_.Settle();
  co_return ReadEnd::Done;
}

auto EngineExchange::ReadFailure(std::string& aInto) -> Task<ReadEnd>
{
  const auto begunAt = clock_.Now();
  while (!parser_->is_done()) {
    const auto before = aInto.size();
    const auto end = co_await ReadSome(aInto);
    if (held_.IsCut() || !held_.Grow(aInto.size() - before)) {
      co_return Pass(AnswerBound::HeldBytes);
    }
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (aInto.size() > bounds_.otherBytes_) {
      co_return Pass(AnswerBound::BodyBytes);
    }
    if (!parser_->is_done() && clock_.Now() - begunAt > bounds_.otherTime_) {
      co_return Pass(AnswerBound::BodyTime);
    }
  }
  co_return ReadEnd::Done;
}

} // namespace goldcrestcroft
