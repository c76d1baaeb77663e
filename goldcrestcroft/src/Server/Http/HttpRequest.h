#pragma once

#include "../../../Core.h"

#include <functional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Names an exchange that is under way. */
using ExchangeId = std::uint64_t;

/** \brief How an exchange ended on the transport. */
enum class HttpEnd
{
  /** A whole reply arrived. */
  Answered,
  /** No byte of the body left this host. */
  NotSent,
  /** The connection broke after a byte of the body had left. */
  Broken,
  /** Nothing moved for the silence bound, or the time was up. */
  Silent
};

/** \brief One HTTP call. */
struct HttpRequest
{
  std::string method_ = "POST";
  /** "http://IP:PORT/path". */
  std::string url_;
  std::string body_;
  /** Whole header lines. */
  std::vector<std::string> headers_;
  Duration timeout_ = std::chrono::seconds{ 10 };
  Duration connectTimeout_ = std::chrono::milliseconds{ 250 };
  /** The exchange ends when nothing moves for this long; 0 for no bound. */
  Duration silence_{ 0 };
  /** Never reuse an open connection. */
  bool fresh_ = false;
};

/** \brief What came back so far, or in the end. */
struct HttpReply
{
  HttpEnd end_ = HttpEnd::NotSent;
  long status_ = 0;
  std::string body_;
  /** Reply header x-attempt-id. */
  std::string attempt_;
  /** Reply header x-leaving is "1": the server takes no new work. */
  bool leaving_ = false;
  /** Reply header x-in-flight: the load that the server reports, or below 0. */
  double inFlight_ = -1.0;
  std::string error_;
};

/** \brief Who hears of an exchange. Called from HttpClient::Poll only. */
struct HttpHandlers
{
  std::function<void(const HttpReply&)> onEnd_;
  /** For streamed replies: called for each piece, which then is not kept in
   * HttpReply::body_. The reply has no body. */
  std::function<void(const HttpReply&, const std::string&)> onBytes_;
};

} // namespace goldcrestcroft
