#pragma once

#include "HttpRequest.h"

#include <memory>

namespace goldcrestcroft {

/** \brief A descriptor to watch beside the exchanges. */
struct WatchedDescriptor
{
  int descriptor_ = -1;
  bool forReading_ = false;
  bool forWriting_ = false;
};

/** \brief Many HTTP exchanges on one thread, over libcurl.
 *
 * A request body is handed to the transport at most once: libcurl's silent
 * second try on a dead pooled connection is refused. */
class HttpClient
{
public:
  struct Options
  {
    /** Pooled connections idle for longer are not used again. */
    Duration maxIdle_ = std::chrono::seconds{ 15 };
    long maxPooled_ = 512;
  };

  explicit HttpClient(Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  auto Send(HttpRequest aRequest, HttpHandlers aHandlers) -> ExchangeId;
  /** \brief Ends an exchange without a word to its handlers, and closes its
   * connection, by which the server learns of it. */
  auto Cancel(ExchangeId aExchange) -> void;
  /** \brief Waits up to aTimeout for anything to happen, then delivers it. */
  auto Poll(Duration aTimeout, const std::vector<WatchedDescriptor>& aWatched)
    -> void;
  /** \brief Ends a Poll early; from any thread. */
  auto Wake() -> void;
  [[nodiscard]] auto UnderWay() const -> std::size_t;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace goldcrestcroft
