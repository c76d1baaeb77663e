#include "HttpExchange.h"

#include "../../Core/TransferCoding.h"
#include "../../Observability/Log.h"

#include <charconv>
#include <cstring>
#include <strings.h>

namespace goldcrestcroft::internal {

namespace {

auto HasPrefix(std::string_view aLine, std::string_view aName) -> bool
{
  return aLine.size() > aName.size() &&
         strncasecmp(aLine.data(), aName.data(), aName.size()) == 0;
}

auto HeaderValue(std::string_view aLine, std::string_view aName) -> std::string
{
  aLine.remove_prefix(aName.size());
  const auto first = aLine.find_first_not_of(" \t");
  const auto last = aLine.find_last_not_of("\r\n \t");
  return first == std::string_view::npos || last == std::string_view::npos
           ? std::string()
           : std::string(aLine.substr(first, last - first + 1));
}

/** Makes libcurl end the exchange. */
auto Reject(Exchange& aExchange, const std::string& aDefect) -> std::size_t
{
  aExchange.defect_ = aDefect;
  Log::Write(LogLevel::Warning, "response_invalid",
             { { "url", aExchange.request_.url_ }, { "reason", aDefect } });
  return 0;
}

auto IsLength(std::string_view aValue) -> bool
{
  std::int64_t length = 0;
  const auto* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, length);
  return parsed.ec == std::errc{} && parsed.ptr == end && aValue.front() != '-';
}

/** Whether the line does not contradict those before it on where the body
 * ends, and names no coding but chunked, since no request asks for another.
 * libcurl itself takes the first digits of a length, and one of two lengths. */
auto AcceptFraming(Exchange& aExchange, std::string_view aLine) -> bool
{
  constexpr std::string_view kTransferEncoding = "transfer-encoding:";
  constexpr std::string_view kContentLength = "content-length:";
  auto& length = aExchange.length_;
  if (HasPrefix(aLine, kTransferEncoding)) {
    const auto isFirst = !aExchange.hasTransferCoding_ && length.empty();
    aExchange.hasTransferCoding_ = true;
    return isFirst && IsChunkedOnly(HeaderValue(aLine, kTransferEncoding));
  }
  if (HasPrefix(aLine, kContentLength)) {
    const auto value = HeaderValue(aLine, kContentLength);
    const auto agrees = length.empty() || length == value;
    length = value;
    return agrees && !aExchange.hasTransferCoding_ && IsLength(value);
  }
  return true;
}

} // namespace

auto OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t
{
  constexpr auto kFirstFinalStatus = 200;
  constexpr std::string_view kAttempt = "x-attempt-id:";
  constexpr std::string_view kLeaving = "x-leaving:";
  constexpr std::string_view kInFlight = "x-in-flight:";
  auto& exchange = *static_cast<Exchange*>(aUser);
  const std::string_view line(aData, aSize * aCount);
  exchange.lastActivityAt_ = SteadyClock{}.Now();
  // Heads of interim responses precede the final one.
  if (!exchange.inHead_ && exchange.response_.status_ < kFirstFinalStatus) {
    exchange.inHead_ = true;
    exchange.hasTransferCoding_ = false;
    exchange.length_.clear();
    curl_easy_getinfo(exchange.easy_, CURLINFO_RESPONSE_CODE,
                      &exchange.response_.status_);
    return IsStatusCode(exchange.response_.status_)
             ? line.size()
             : Reject(exchange, "the status is no status code");
  }
  // libcurl takes other lines for fields too, and passes over a name with a
  // blank, such as that of a length.
  if (!IsFieldLine(line)) {
    return Reject(exchange, "a line of the head is no field");
  }
  if (!AcceptFraming(exchange, line)) {
    return Reject(exchange, "the end of the body is not certain");
  }
  if (line == "\r\n" || line == "\n") {
    exchange.inHead_ = false;
  } else if (HasPrefix(line, kAttempt)) {
    exchange.response_.attempt_ = HeaderValue(line, kAttempt);
  } else if (HasPrefix(line, kLeaving)) {
    exchange.response_.leaving_ = HeaderValue(line, kLeaving) == "1";
  } else if (HasPrefix(line, kInFlight)) {
    exchange.response_.inFlight_ =
      std::strtod(HeaderValue(line, kInFlight).c_str(), nullptr);
  }
  return line.size();
}

auto OnWrite(char* aData, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t
{
  auto& exchange = *static_cast<Exchange*>(aUser);
  exchange.lastActivityAt_ = SteadyClock{}.Now();
  if (exchange.handlers_.onBytes_ && exchange.received_.empty()) {
    exchange.withNewBytes_->push_back(exchange.id_);
  }
  exchange.received_.append(aData, aSize * aCount);
  return aSize * aCount;
}

// libcurl retries a request by itself when a pooled connection turns out dead,
// even after the server has read and perhaps executed it. A retry has to rewind
// the body; no seek callback is set, so that the retry fails.
auto OnRead(char* aBuffer, std::size_t aSize, std::size_t aCount, void* aUser)
  -> std::size_t
{
  auto& exchange = *static_cast<Exchange*>(aUser);
  const auto& body = exchange.request_.body_;
  const auto bytes = std::min(aSize * aCount, body.size() - exchange.bodySent_);
  std::memcpy(aBuffer, body.data() + exchange.bodySent_, bytes);
  exchange.bodySent_ += bytes;
  exchange.bodyStarted_ = true;
  return bytes;
}

auto ErrorOf(const Exchange& aExchange, CURLcode aCode) -> std::string
{
  return aCode == CURLE_OK            ? ""
         : !aExchange.defect_.empty() ? aExchange.defect_
                                      : curl_easy_strerror(aCode);
}

} // namespace goldcrestcroft::internal
