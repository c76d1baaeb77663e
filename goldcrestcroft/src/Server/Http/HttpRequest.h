#pragma once

#include "../../../Core.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Identifies an exchange in progress. */
using ExchangeId = std::uint64_t;

/** \brief The outcome of an exchange at the transport level. */
enum class HttpOutcome
{
  /** A complete response arrived. */
  Answered,
  /** No byte of the body was sent. */
  NotSent,
  /** The connection failed after part of the body may have been sent, or the
   * response is invalid. */
  Broken,
  /** No data arrived within HttpRequest::silence_, or timeout_ expired. */
  Silent
};

/** \brief An HTTP request and its timeouts. */
struct HttpRequest
{
  std::string method_ = "POST";
  /** "http://IP:PORT/path". */
  std::string url_;
  std::string body_;
  /** Complete header lines. */
  std::vector<std::string> headers_;
  Duration timeout_ = std::chrono::seconds{ 10 };
  Duration connectTimeout_ = std::chrono::milliseconds{ 250 };
  /** Maximum time without received data before the exchange ends; 0 for no
   * limit. */
  Duration silence_{ 0 };
  /** Always open a new connection. */
  bool fresh_ = false;
};

/** \brief A response, complete or as received so far. */
struct HttpResponse
{
  HttpOutcome end_ = HttpOutcome::NotSent;
  long status_ = 0;
  std::string body_;
  /** Response header x-attempt-id. */
  std::string attempt_;
  /** Response header x-leaving is "1": the server is draining. */
  bool leaving_ = false;
  /** Response header x-in-flight: the load that the server reports; negative
   * if absent. */
  double inFlight_ = -1.0;
  std::string error_;
};

/** \brief Callbacks of an exchange. Called from HttpClient::Poll only. */
struct HttpHandlers
{
  std::function<void(const HttpResponse&)> onEnd_;
  /** For streamed responses: called with the bytes received since the last
   * call. The body_ of the response stays empty. */
  std::function<void(const HttpResponse&, const std::string&)> onBytes_;
};

} // namespace goldcrestcroft
