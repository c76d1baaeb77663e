#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Phase that the write timeout applies to. */
constexpr std::string_view kResponsePhase = "answer";

} // namespace

auto CallerConnection::SendFailureResponse(std::string aProblem) -> Task<void>
{
  // An exception left uncaught would end this coroutine, and the caller would
  // wait forever.
  Log::Write(LogLevel::Error, "request_failed",
             { { "request", requestId_ }, { "reason", aProblem } });
  traffic_.Metrics().Count("requests_failed");
  if (responseStarted_) {
    End(CallerCloseReason::Failed, aProblem);
    co_return;
  }
  auto response = traffic_.MakeAnswer(
    { .status_ = 502,
      .reason_ = "host_failed",
      .message_ = "this host failed; the request may have run",
      .closes_ = true },
    requestId_);
  co_await SendResponse(std::move(response));
}

auto CallerConnection::Serve(std::shared_ptr<RequestRun> aRun) -> Task<bool>
{
  auto reusable = false;
  std::optional<std::string> problem;
  try {
    reusable = co_await aRun->Serve();
  } catch (const std::exception& aProblem) {
    problem = aProblem.what();
  }
  if (problem) {
    aRun->OnFailed(*problem);
    co_await SendFailureResponse(std::move(*problem));
  }
  if (!responseSent_) {
    Log::Write(
      LogLevel::Info, "caller_unanswered",
      { { "request", requestId_ },
        { "reason", closeDetail_.empty() ? "broken_off" : closeDetail_ } });
    traffic_.Metrics().Count("callers_unanswered");
  }
  co_return reusable;
}

auto CallerConnection::RecordWrite(const boost::system::error_code& aError,
                                   bool aIsEnd) -> bool
{
  responseSent_ = responseSent_ || (aIsEnd && !aError);
  if (aError && closeDetail_.empty()) {
    closeDetail_ = aError.message();
  }
  return !aError;
}

auto CallerConnection::SendResponse(http::response<http::string_body> aResponse)
  -> Task<bool>
{
  const auto self = shared_from_this();
  responseStarted_ = true;
  announcedClose_ = !aResponse.keep_alive();
  CloseAfter(traffic_.Options().settings_.writeTimeout_, kResponsePhase);
  const auto [error, size] =
    co_await http::async_write(socket_, aResponse, kAsTuple);
  deadline_.Disarm();
  co_return RecordWrite(error, true);
}

auto CallerConnection::SendHead(http::response<http::empty_body> aResponse)
  -> Task<bool>
{
  const auto self = shared_from_this();
  const auto isEnd = !aResponse.chunked();
  http::response_serializer<http::empty_body> serializer(aResponse);
  responseStarted_ = true;
  announcedClose_ = !aResponse.keep_alive();
  CloseAfter(traffic_.Options().settings_.writeTimeout_, kResponsePhase);
  const auto [error, size] =
    co_await http::async_write_header(socket_, serializer, kAsTuple);
  deadline_.Disarm();
  co_return RecordWrite(error, isEnd);
}

auto CallerConnection::SendStreamHead(http::response<http::empty_body> aHead)
  -> Task<bool>
{
  aHead.chunked(true);
  co_return co_await SendHead(std::move(aHead));
}

auto CallerConnection::SendChunk(std::string aBytes) -> Task<bool>
{
  const auto self = shared_from_this();
  if (aBytes.empty()) {
    co_return true; // An empty chunk would end the body.
  }
  const auto [error, size] = co_await asio::async_write(
    socket_, http::make_chunk(asio::buffer(aBytes)), kAsTuple);
  co_return RecordWrite(error, false);
}

auto CallerConnection::SendLastChunk() -> Task<bool>
{
  const auto self = shared_from_this();
  const auto [error, size] =
    co_await asio::async_write(socket_, http::make_chunk_last(), kAsTuple);
  co_return RecordWrite(error, true);
}

} // namespace goldcrestcroft
