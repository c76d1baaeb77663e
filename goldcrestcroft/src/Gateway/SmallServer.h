#pragma once

#include "Net.h"

#include <functional>

namespace goldcrestcroft {

/** \brief Answers small GET calls, such as readiness, the directory and
 * metrics, on one address. */
class SmallServer
{
public:
  struct Answer
  {
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::string body_;
  };
  using Handler = std::function<Answer(const std::string& aTarget)>;

  SmallServer(asio::io_context& aContext, Handler aHandler)
    : context_(aContext)
    , handler_(std::move(aHandler))
  {
  }

  /** \brief Fails with Unavailable. */
  auto Start(const std::string& aAddress) -> Result<void>;

private:
  auto Accept() -> Task<void>;
  auto Serve(Tcp::socket aSocket) -> Task<void>;

  asio::io_context& context_;
  Handler handler_;
  std::optional<Tcp::acceptor> acceptor_;
};

} // namespace goldcrestcroft
