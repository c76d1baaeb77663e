#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** A caller that takes no bytes for this long is given up. */
constexpr auto kWriteTimeout = std::chrono::seconds{ 20 };
/** What a connection's time is for. */
constexpr std::string_view kAnswer = "answer";

} // namespace

auto CallerConnection::AnswerFailure(std::string aProblem) -> Task<void>
{
  // Left alone it would end this coroutine, and the caller would wait for ever.
  Log::Write(LogLevel::Error, "request_failed",
             { { "request", serving_ }, { "reason", aProblem } });
  traffic_.Metrics().Count("requests_failed");
  if (answering_) {
    End(CallerEnd::Failed, aProblem);
    co_return;
  }
  auto answer = traffic_.MakeAnswer(
    { .status_ = 502,
      .reason_ = "host_failed",
      .message_ = "this host failed; the request may have run",
      .closes_ = true },
    serving_);
  co_await SendWhole(std::move(answer));
}

auto CallerConnection::Serve(std::shared_ptr<RequestRun> aRun) -> Task<bool>
{
  auto goesOn = false;
  std::optional<std::string> problem;
  try {
    goesOn = co_await aRun->Serve();
  } catch (const std::exception& aProblem) {
    problem = aProblem.what();
  }
  if (problem) {
    aRun->OnFailed(*problem);
    co_await AnswerFailure(std::move(*problem));
  }
  if (!answered_) {
    Log::Write(LogLevel::Info, "caller_unanswered",
               { { "request", serving_ },
                 { "reason", whyEnded_.empty() ? "broken_off" : whyEnded_ } });
    traffic_.Metrics().Count("callers_unanswered");
  }
  co_return goesOn;
}

auto CallerConnection::NoteSent(const boost::system::error_code& aError,
                                bool aIsEnd) -> bool
{
  answered_ = answered_ || (aIsEnd && !aError);
  if (aError && whyEnded_.empty()) {
    whyEnded_ = aError.message();
  }
  return !aError;
}

auto CallerConnection::SendWhole(http::response<http::string_body> aAnswer)
  -> Task<bool>
{
  const auto self = shared_from_this();
  answering_ = true;
  saidClose_ = !aAnswer.keep_alive();
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
  answering_ = true;
  saidClose_ = !aAnswer.keep_alive();
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
