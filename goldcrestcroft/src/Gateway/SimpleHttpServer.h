#pragma once

#include "HeaderReader.h"

#include <functional>
#include <list>
#include <memory>

namespace goldcrestcroft {

/** \brief HTTP server for short GET requests on one address, such as readiness,
 * directory and metrics. */
class SimpleHttpServer
{
public:
  struct Response
  {
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_;
  };
  using Handler = std::function<Response(const std::string& aTarget)>;

  /** \brief Beyond aMaxConnections, the oldest connection is closed for each
   * new one. */
  SimpleHttpServer(asio::io_context& aContext, Handler aHandler,
                   std::size_t aMaxConnections = 128)
    : context_(aContext)
    , handler_(std::move(aHandler))
    , maxConnections_(aMaxConnections)
  {
  }

  /** \brief Starts to listen. Fails with Unavailable if the address cannot be
   * used. */
  auto Start(const std::string& aAddress, const BindRetry& aRetry = {})
    -> Result<void>;

private:
  auto Accept() -> Task<void>;
  auto Serve(std::shared_ptr<Tcp::socket> aSocket) -> Task<void>;
  auto ServeRequests(Tcp::socket& aSocket) -> Task<void>;
  /** \brief Reads a request; false if the connection ends instead. */
  static auto ReadRequest(Tcp::socket& aSocket, beast::flat_buffer& aBuffer,
                          RequestParser& aParser) -> Task<bool>;

  asio::io_context& context_;
  Handler handler_;
  std::optional<Tcp::acceptor> acceptor_;
  std::size_t maxConnections_;
  /** Open connections, the oldest first. */
  std::list<std::shared_ptr<Tcp::socket>> connections_;
};

} // namespace goldcrestcroft
