#pragma once

#include "Net.h"

#include <functional>

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

  SimpleHttpServer(asio::io_context& aContext, Handler aHandler)
    : context_(aContext)
    , handler_(std::move(aHandler))
  {
  }

  /** \brief Starts to listen. Fails with Unavailable if the address cannot be
   * used. */
  auto Start(const std::string& aAddress) -> Result<void>;

private:
  auto Accept() -> Task<void>;
  auto Serve(Tcp::socket aSocket) -> Task<void>;

  asio::io_context& context_;
  Handler handler_;
  std::optional<Tcp::acceptor> acceptor_;
};

} // namespace goldcrestcroft
