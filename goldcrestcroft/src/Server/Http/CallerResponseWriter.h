#pragma once

#include "../../../Pipeline.h"
#include "CallerSocket.h"

#include <memory>
#include <vector>

namespace goldcrestcroft {

/** \brief The contents of an HTTP response. */
struct ResponseOptions
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  /** Complete header lines without line ends. */
  std::vector<std::string> headers_;
  std::string body_;
};

/** \brief Writes the response to one request of a caller. Movable; may be used
 * from any thread.
 *
 * Call either Send, or Begin, Chunk and End. The end of the response releases
 * the connection for the next request. */
class CallerResponseWriter
{
public:
  CallerResponseWriter(std::shared_ptr<CallerSocket> aSocket, bool aClose)
    : socket_(std::move(aSocket))
    , close_(aClose)
  {
  }

  auto Send(const ResponseOptions& aReply) -> void;
  /** \brief Starts a chunked response. */
  auto Begin(const ResponseOptions& aHead) -> void;
  auto Chunk(std::string_view aBytes) -> void;
  auto End() -> void;

  [[nodiscard]] auto HasBegun() const -> bool { return begun_; }
  [[nodiscard]] auto CallerGone() const -> bool
  {
    return socket_->IsDisconnected();
  }
  [[nodiscard]] auto Socket() const -> const std::shared_ptr<CallerSocket>&
  {
    return socket_;
  }
  /** \brief Sends "Connection: close" and closes the connection after this
   * response. */
  auto SetClose() -> void { close_ = true; }

private:
  [[nodiscard]] auto Head(const ResponseOptions& aReply) const -> std::string;

  std::shared_ptr<CallerSocket> socket_;
  bool close_;
  bool begun_ = false;
};

} // namespace goldcrestcroft
