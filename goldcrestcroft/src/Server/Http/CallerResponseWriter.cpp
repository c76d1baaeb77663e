#include "CallerResponseWriter.h"

#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

auto Reason(int aStatus) -> std::string_view
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Internal Server Error";
  }
}

} // namespace

// Pistache addresses a response by the number of the caller's descriptor, which
// may already belong to another caller by then. The response head is therefore
// formatted here and written through CallerSocket.
auto CallerResponseWriter::Head(const ResponseOptions& aReply) const
  -> std::string
{
  auto head =
    fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n", aReply.status_,
                Reason(aReply.status_), aReply.contentType_);
  for (const auto& line : aReply.headers_) {
    head += line + "\r\n";
  }
  head += close_ ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
  return head;
}

auto CallerResponseWriter::Send(const ResponseOptions& aReply) -> void
{
  socket_->Finish(fmt::format("{}Content-Length: {}\r\n\r\n{}", Head(aReply),
                              aReply.body_.size(), aReply.body_),
                  close_);
}

auto CallerResponseWriter::Begin(const ResponseOptions& aHead) -> void
{
  begun_ = true;
  socket_->Write(Head(aHead) + "Transfer-Encoding: chunked\r\n\r\n");
}

auto CallerResponseWriter::Chunk(std::string_view aBytes) -> void
{
  if (!aBytes.empty()) {
    socket_->Write(fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes));
  }
}

auto CallerResponseWriter::End() -> void
{
  socket_->Finish("0\r\n\r\n", close_);
}

} // namespace goldcrestcroft
