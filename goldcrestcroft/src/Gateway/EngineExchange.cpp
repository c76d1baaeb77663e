#include "EngineExchange.h"

#include <algorithm>
#include <charconv>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kMaxHeadBytes = 32'768;
constexpr std::size_t kReadBytes = 4096;
/** Late answers of others that are read past on one connection. */
constexpr auto kMostStrayAnswers = 4;
constexpr std::size_t kMaxStrayBytes = 1U << 20U;

/** The time that a Keep-Alive header names; zero without one. */
auto ReadKeepFor(std::string_view aHeader) -> Duration
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

/** The seconds of a Retry-After header; zero without a number. */
auto ReadRetryAfter(std::string_view aHeader) -> Duration
{
  constexpr auto kMostSeconds = 86'400.0;
  auto seconds = 0.0;
  std::from_chars(aHeader.data(), aHeader.data() + aHeader.size(), seconds);
  const auto bounded = std::clamp(seconds, 0.0, kMostSeconds);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bounded));
}

auto IsSet(std::string_view aFlag) -> bool
{
  return !aFlag.empty() && aFlag != "0";
}

} // namespace

auto EngineExchange::TakeHead() -> void
{
  auto& message = parser_->get();
  head_ = { .status_ = static_cast<int>(message.result_int()),
            .fields_ = std::move(message.base()) };
  const auto& fields = head_.fields_;
  head_.notRun_ = fields.count(names_.notRun_) > 0 || head_.status_ == 421;
  head_.signed_ = fields.count(names_.signature_) > 0;
  head_.keepAlive_ = parser_->keep_alive();
  head_.leaving_ =
    std::any_of(names_.engineLeaving_.begin(), names_.engineLeaving_.end(),
                [&](const auto& aName) { return IsSet(fields[aName]); });
  head_.retryAfter_ = ReadRetryAfter(fields[http::field::retry_after]);
  const auto keep = fields["Keep-Alive"];
  head_.keepFor_ = ReadKeepFor({ keep.data(), keep.size() });
  if (const auto length = parser_->content_length()) {
    head_.length_ = *length;
  }
}

auto EngineExchange::ReadHead(std::string aRequestId, bool aHasNoBody)
  -> Task<ReadEnd>
{
  auto& connection = *lease_.connection_;
  for (auto strays = 0; strays < kMostStrayAnswers;) {
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(boost::none);
    parser_->skip(aHasNoBody);
    const auto [error, size] = co_await http::async_read_header(
      connection.Socket(), connection.Buffer(), *parser_, kAsTuple);
    if (error) {
      const auto garbled =
        error.category() ==
          make_error_code(http::error::bad_version).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
      co_return garbled ? ReadEnd::Garbled : ReadEnd::Broken;
    }
    const auto status = parser_->get().result_int();
    if (status >= 100 && status < 200) {
      continue; // An interim answer.
    }
    const auto echoed = parser_->get()[names_.requestId_];
    if (aRequestId.empty() ||
        std::string_view(echoed.data(), echoed.size()) == aRequestId) {
      TakeHead();
      co_return ReadEnd::Done;
    }
    ++strays;
    std::string dropped;
    const auto end = co_await ReadAll(dropped, kMaxStrayBytes);
    if (end != ReadEnd::Done) {
      co_return end;
    }
  }
  co_return ReadEnd::Garbled;
}

auto EngineExchange::ReadSome(std::string& aInto) -> Task<ReadEnd>
{
  auto& connection = *lease_.connection_;
  char bytes[kReadBytes];
  while (!parser_->is_done()) {
    auto& body = parser_->get().body();
    body.data = bytes;
    body.size = sizeof(bytes);
    const auto [error, size] = co_await http::async_read_some(
      connection.Socket(), connection.Buffer(), *parser_, kAsTuple);
    const auto got = sizeof(bytes) - body.size;
    aInto.append(bytes, got);
    if (error && error != http::error::need_buffer) {
      const auto broken = error == asio::error::eof ||
                          error == http::error::partial_message ||
                          error == http::error::end_of_stream ||
                          error.category() == boost::system::system_category();
      co_return broken ? ReadEnd::Broken : ReadEnd::Garbled;
    }
    if (got > 0) {
      break;
    }
  }
  co_return ReadEnd::Done;
}

auto EngineExchange::ReadAll(std::string& aInto, std::size_t aMost)
  -> Task<ReadEnd>
{
  while (!parser_->is_done()) {
    const auto end = co_await ReadSome(aInto);
    if (end != ReadEnd::Done) {
      co_return end;
    }
    if (aInto.size() > aMost) {
      co_return ReadEnd::Garbled;
    }
  }
  co_return ReadEnd::Done;
}

} // namespace goldcrestcroft
