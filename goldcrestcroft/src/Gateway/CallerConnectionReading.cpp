#include "CallerConnection.h"

#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Memory of a parsed header field besides its text: the list and tree nodes of
 * the parser and the overhead of the allocation. */
constexpr std::size_t kFieldBytes = 80;

auto MalformedRequest(const std::string& aProblem) -> LocalReply
{
  return { .status_ = 400,
           .reason_ = "malformed",
           .message_ = "the request cannot be read: " + aProblem,
           .closes_ = true };
}

auto ToLocalReply(const boost::system::error_code& aError) -> LocalReply
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { .status_ = 431,
             .reason_ = "header_too_large",
             .message_ = "the header, or what frames the body, is larger "
                         "than allowed",
             .closes_ = true };
  }
  if (aError == http::error::body_limit) {
    return { .status_ = 413,
             .reason_ = "body_too_large",
             .message_ = "the body is larger than allowed",
             .closes_ = true };
  }
  return MalformedRequest(aError.message());
}

auto TooManyFields() -> LocalReply
{
  return { .status_ = 431,
           .reason_ = "too_many_header_fields",
           .message_ = "the header has more fields than allowed",
           .closes_ = true };
}

auto BodyTimedOut() -> LocalReply
{
  return { .status_ = 408,
           .reason_ = "body_timed_out",
           .message_ = "the body took longer than allowed",
           .closes_ = true };
}

auto IsProtocolError(const boost::system::error_code& aError) -> bool
{
  return aError.category() ==
           make_error_code(http::error::bad_version).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

/** \brief Estimated memory of the parsed header. */
auto HeaderBytes(const CallerRequest& aRequest) -> std::size_t
{
  auto bytes = aRequest.target().size();
  for (const auto& field : aRequest) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

} // namespace

auto CallerConnection::OutcomeOf(const boost::system::error_code& aError,
                                 LocalReply& aRefusal) const -> ReadOutcome
{
  if (held_->IsEvicted()) {
    aRefusal = { .reason_ = "evicted_for_memory",
                 .message_ = "this host needed the memory of the incomplete "
                             "request",
                 .retryAfter_ = traffic_.Options().retryAfter_,
                 .closes_ = true };
    return ReadOutcome::Rejected;
  }
  if (IsProtocolError(aError)) {
    aRefusal = ToLocalReply(aError);
    return ReadOutcome::Rejected;
  }
  return ReadOutcome::NoRequest;
}

auto CallerConnection::ReadBody(RequestParser& aParser,
                                std::size_t aHeaderBytes, LocalReply& aRefusal)
  -> Task<ReadOutcome>
{
  const auto begunAt = traffic_.Now();
  std::size_t taken = 0;
  while (!aParser.is_done()) {
    // The idle timeout applies to each read of the body.
    CloseAfter(Limits().idleTimeout_, kBodyPhase);
    const auto before = taken;
    const auto error = co_await ReadSomeBody(socket_, buffer_, aParser, taken);
    const auto now = traffic_.Now();
    held_->OnReceived(taken - before, now);
    const auto fits = held_->Resize(
      aHeaderBytes + buffer_.capacity() + aParser.get().body().capacity(), now);
    if (error || !fits) {
      co_return OutcomeOf(error, aRefusal);
    }
    if (!aParser.is_done() &&
        now - begunAt > traffic_.Options().settings_.maxBodyTime_) {
      aRefusal = BodyTimedOut();
      co_return ReadOutcome::Rejected;
    }
  }
  co_return ReadOutcome::Complete;
}

auto CallerConnection::ReadHeaderAndBody(RequestParser& aParser,
                                         LocalReply& aRefusal)
  -> Task<ReadOutcome>
{
  const auto limits = Limits();
  CloseAfter(limits.headerTimeout_, kHeaderPhase);
  aParser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes_));
  aParser.body_limit(limits.maxBodyBytes_);
  std::function<bool(std::size_t)> onBuffered = [this](std::size_t aBytes) {
    return held_->Resize(aBytes, traffic_.Now());
  };
  auto reading =
    ReadHeader(socket_, buffer_, aParser,
               traffic_.Options().settings_.maxHeaderFields_, onBuffered);
  const auto header = co_await std::move(reading);
  if (header.tooManyFields_) {
    aRefusal = TooManyFields();
    co_return ReadOutcome::Rejected;
  }
  const auto headerBytes = HeaderBytes(aParser.get());
  const auto bytes = headerBytes + buffer_.capacity();
  if (header.error_ || !held_->Resize(bytes, traffic_.Now())) {
    co_return OutcomeOf(header.error_, aRefusal);
  }
  const auto length = aParser.content_length().value_or(0);
  if (!traffic_.Memory().Admits(client_, bytes + length)) {
    aRefusal = { .reason_ = "no_memory",
                 .message_ = "this host has no memory for the body",
                 .retryAfter_ = traffic_.Options().retryAfter_,
                 .closes_ = true };
    co_return ReadOutcome::Rejected;
  }
  if (aParser.get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    co_await http::async_write(socket_, proceed, kAsTuple);
  }
  co_return co_await ReadBody(aParser, headerBytes, aRefusal);
}

auto CallerConnection::ReadRequest(CallerRequest& aRequest) -> Task<ReadOutcome>
{
  held_.reset();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
    CloseAfter(Limits().idleTimeout_, kIdlePhase);
    const auto [error] =
      co_await socket_.async_wait(Tcp::socket::wait_read, kAsTuple);
    if (error) {
      co_return ReadOutcome::NoRequest;
    }
  }
  idleSince_.reset();
  readingSince_ = traffic_.Now();
  const MemoryAccount::Holder holder{ .client_ = client_,
                                      .since_ = *readingSince_ };
  held_.emplace(traffic_.Memory(), holder, [this] {
    boost::system::error_code ignored;
    socket_.cancel(ignored); // Ends the read, which then finds the eviction.
  });
  std::optional<RequestParser> parser(std::in_place);
  LocalReply refusal;
  auto outcome = co_await ReadHeaderAndBody(*parser, refusal);
  readingSince_.reset();
  if (outcome == ReadOutcome::Complete && !held_->MarkComplete()) {
    outcome = OutcomeOf({}, refusal);
  }
  if (outcome == ReadOutcome::Complete) {
    deadline_.Disarm();
    aRequest = parser->release();
    co_return outcome;
  }
  // The memory is released before the reply is written, which may take long.
  parser.reset();
  buffer_ = beast::flat_buffer();
  held_.reset();
  if (outcome == ReadOutcome::Rejected) {
    co_return co_await Reject(std::move(refusal));
  }
  co_return outcome;
}

auto CallerConnection::Reject(LocalReply aReply) -> Task<ReadOutcome>
{
  traffic_.RecordRejected(
    aReply,
    asio::ip::address_v4(static_cast<std::uint32_t>(client_)).to_string());
  auto response = traffic_.MakeAnswer(aReply, "");
  co_await SendResponse(std::move(response));
  co_return ReadOutcome::Rejected;
}

} // namespace goldcrestcroft
