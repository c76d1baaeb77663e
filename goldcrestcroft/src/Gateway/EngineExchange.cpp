#include "EngineExchange.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kReadBytes = 4096;

/** The timeout parameter of a Keep-Alive header; zero if absent. */
auto ParseKeepAlive(std::string_view aHeader) -> Duration
{
  constexpr std::string_view kName = "timeout=";
  const auto at = aHeader.find(kName);
  if (at == std::string_view::npos) {
    return {};
  }
  const auto text = aHeader.substr(at + kName.size());
  auto seconds = 0U;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds{ seconds };
}

/** The seconds of a Retry-After header; zero if it is not a number. */
auto ParseRetryAfter(std::string_view aHeader) -> Duration
{
  constexpr auto kMaxSeconds = 86'400.0;
  auto seconds = 0.0;
  std::from_chars(aHeader.data(), aHeader.data() + aHeader.size(), seconds);
  const auto bounded =
    std::isfinite(seconds) ? std::clamp(seconds, 0.0, kMaxSeconds) : 0.0;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bounded));
}

auto IsSet(std::string_view aFlag) -> bool
{
  return !aFlag.empty() && aFlag != "0";
}

template<typename Parser>
auto FramingOf(const Parser& aParser) -> ResponseFraming
{
  return aParser.is_done()          ? ResponseFraming::NoBody
         : aParser.chunked()        ? ResponseFraming::Chunked
         : aParser.content_length() ? ResponseFraming::Length
                                    : ResponseFraming::Connection;
}

auto ToConnectionEnd(const boost::system::error_code& aError) -> ConnectionEnd
{
  return !aError                                    ? ConnectionEnd::Open
         : aError == asio::error::eof               ? ConnectionEnd::Closed
         : aError == asio::error::connection_reset  ? ConnectionEnd::Reset
         : aError == asio::error::operation_aborted ? ConnectionEnd::Aborted
         : aError == asio::error::bad_descriptor    ? ConnectionEnd::Aborted
                                                    : ConnectionEnd::Reset;
}

} // namespace

EngineExchange::EngineExchange(EngineLease aLease, const HeaderNames& aNames,
                               MemoryAccount& aMemory)
  : lease_(std::move(aLease))
  , names_(aNames)
  , bufferShare_(aMemory, { .kind_ = MemoryAccount::Kind::Response },
                 [weak = std::weak_ptr(lease_.connection_)] {
                   if (const auto connection = weak.lock()) {
                     connection->Close();
                   }
                 })
{
}

auto EngineExchange::TakeHead() -> void
{
  auto& message = parser_->get();
  head_ = { .status_ = static_cast<int>(message.result_int()),
            .fields_ = std::move(message.base()) };
  const auto& fields = head_.fields_;
  head_.notRun_ = fields.count(names_.notRun_) > 0 || head_.status_ == 421;
  head_.framing_ = FramingOf(*parser_);
  head_.signed_ = fields.count(names_.signature_) > 0;
  head_.keepAlive_ = parser_->keep_alive();
  head_.leaving_ =
    std::any_of(names_.engineLeaving_.begin(), names_.engineLeaving_.end(),
                [&](const auto& aName) { return IsSet(fields[aName]); });
  for (const auto& name : names_.engineLimit_) {
    const auto [first, last] = fields.equal_range(name);
    for (auto field = first; field != last; ++field) {
      head_.limits_.emplace_back(field->value());
    }
  }
  head_.retryAfter_ = ParseRetryAfter(fields[http::field::retry_after]);
  const auto keep = fields["Keep-Alive"];
  head_.keepFor_ = ParseKeepAlive({ keep.data(), keep.size() });
  if (const auto length = parser_->content_length()) {
    head_.length_ = *length;
  }
}

auto EngineExchange::ReadNextHead(bool aHasNoBody) -> Task<ReadOutcome>
{
  auto& buffer = lease_.connection_->Buffer();
  parser_.emplace();
  parser_->header_limit(bounds_.headBytes_);
  parser_->body_limit(boost::none);
  parser_->skip(aHasNoBody);
  bodyBytes_ = 0;
  framingBytes_ = 0;
  framingBegunAt_.reset();
  std::optional<TimePoint> begunAt;
  while (!parser_->is_header_done()) {
    if (buffer.size() > 0) {
      boost::system::error_code error;
      headBytes_ += Parse(error);
      if (error == http::error::header_limit ||
          headBytes_ > 2 * bounds_.headBytes_) {
        co_return Pass(ResponseLimit::HeadBytes);
      }
      if (error && error != http::error::need_more) {
        co_return Reject(ResponseDefect::Syntax);
      }
      if (parser_->is_header_done()) {
        break;
      }
      begunAt = begunAt.value_or(clock_.Now());
      if (clock_.Now() - *begunAt > bounds_.headTime_) {
        co_return Pass(ResponseLimit::HeadTime);
      }
    }
    const auto error = co_await Receive();
    const auto end = error ? OutcomeOf(error) : ReadOutcome::Done;
    if (end == ReadOutcome::Paused && begunAt) {
      // A partly received head is read to its end instead of pausing.
      lease_.connection_->CloseAfter(bounds_.headTime_);
    } else if (error) {
      co_return end;
    }
  }
  // Before the status and the id are looked at: an invalid head is neither an
  // interim response nor one to another request.
  const auto defect = CheckHead(parser_->get());
  co_return defect == ResponseDefect::None ? ReadOutcome::Done : Reject(defect);
}

auto EngineExchange::ReadHead(std::string aRequestId, bool aHasNoBody)
  -> Task<ReadOutcome>
{
  auto strays = 0;
  auto interim = 0;
  for (;;) {
    auto end = co_await ReadNextHead(aHasNoBody);
    if (end != ReadOutcome::Done) {
      co_return end;
    }
    const auto status = parser_->get().result_int();
    if (status >= 100 && status < 200) {
      if (++interim > bounds_.interimResponses_) {
        co_return Pass(ResponseLimit::InterimResponses);
      }
      continue;
    }
    const auto echoed = parser_->get()[names_.requestId_];
    if (aRequestId.empty() ||
        std::string_view(echoed.data(), echoed.size()) == aRequestId) {
      TakeHead();
      hasHead_ = true;
      co_return ReadOutcome::Done;
    }
    if (++strays >= bounds_.strayResponses_) {
      co_return Pass(ResponseLimit::StrayResponses);
    }
    end = co_await SkipBody();
    if (end != ReadOutcome::Done) {
      // Reading cannot resume with a head in the middle of a body.
      co_return end == ReadOutcome::Paused ? ReadOutcome::Broken : end;
    }
  }
}

auto EngineExchange::Receive() -> Task<boost::system::error_code>
{
  auto& connection = *lease_.connection_;
  if (connection.IsPaused()) {
    co_return asio::error::operation_aborted;
  }
  auto [error, size] = co_await connection.Socket().async_read_some(
    connection.Buffer().prepare(kReadBytes), kAsTuple);
  connection.Buffer().commit(size);
  // The write of the request, or a check for unread bytes, may have taken the
  // error of a reset, so that the read seems to be at an orderly end.
  if (error == asio::error::eof && connection.WasReset()) {
    error = asio::error::connection_reset;
  }
  connectionEnd_ = ToConnectionEnd(error);
  if (!error) {
    connection.NoteReceived();
  }
  co_return error;
}

auto EngineExchange::OutcomeOf(const boost::system::error_code& aError) const
  -> ReadOutcome
{
  return aError == asio::error::operation_aborted &&
             lease_.connection_->IsPaused() && lease_.connection_->IsOpen()
           ? ReadOutcome::Paused
           : ReadOutcome::Broken;
}

auto EngineExchange::Parse(boost::system::error_code& aError) -> std::size_t
{
  auto& buffer = lease_.connection_->Buffer();
  const auto size = parser_->put(buffer.data(), aError);
  buffer.consume(size);
  return size;
}

} // namespace goldcrestcroft
