#pragma once

#include "HttpRequest.h"

#include <memory>

namespace goldcrestcroft {

/** \brief A descriptor that Poll watches beside its exchanges. */
struct WatchedDescriptor
{
  int descriptor_ = -1;
  bool forReading_ = false;
  bool forWriting_ = false;
};

/** \brief Runs many HTTP exchanges on one thread, based on libcurl.
 *
 * A request body is given to the transport at most once: libcurl's automatic
 * retry after a pooled connection turns out dead is prevented. */
class HttpClient
{
public:
  struct Options
  {
    /** Pooled connections that were idle for longer are not reused. */
    Duration maxIdle_ = std::chrono::seconds{ 15 };
    long maxPooled_ = 512;
  };

  explicit HttpClient(Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  auto Send(HttpRequest aRequest, HttpHandlers aHandlers) -> ExchangeId;
  /** \brief Ends an exchange without calling its handlers. Closes its
   * connection, which lets the server detect the cancellation. */
  auto Cancel(ExchangeId aExchange) -> void;
  /** \brief Waits up to aTimeout for events, then calls the handlers. */
  auto Poll(Duration aTimeout, const std::vector<WatchedDescriptor>& aWatched)
    -> void;
  /** \brief Makes Poll return early. May be called from any thread. */
  auto Wake() -> void;
  /** \brief The number of exchanges in progress. */
  [[nodiscard]] auto UnderWay() const -> std::size_t;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace goldcrestcroft
