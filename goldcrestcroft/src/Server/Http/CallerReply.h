#pragma once

#include "../../../Pipeline.h"
#include "CallerSocket.h"

#include <memory>
#include <vector>

namespace goldcrestcroft {

/** \brief A reply that is ready to be sent. */
struct ReplyOptions
{
  int status_ = 200;
  std::string contentType_ = "application/json";
  /** Whole header lines without line ends. */
  std::vector<std::string> headers_;
  std::string body_;
};

/** \brief The one reply that a caller's request gets; movable, for any thread.
 *
 * Either Send, or Begin, Chunk and End. Releases the connection at its end. */
class CallerReply
{
public:
  CallerReply(std::shared_ptr<CallerSocket> aSocket, bool aClose)
    : socket_(std::move(aSocket))
    , close_(aClose)
  {
  }

  auto Send(const ReplyOptions& aReply) -> void;
  /** \brief Starts a chunked reply. */
  auto Begin(const ReplyOptions& aHead) -> void;
  auto Chunk(std::string_view aBytes) -> void;
  auto End() -> void;

  [[nodiscard]] auto HasBegun() const -> bool { return begun_; }
  [[nodiscard]] auto CallerGone() const -> bool { return socket_->IsGone(); }
  [[nodiscard]] auto Socket() const -> const std::shared_ptr<CallerSocket>&
  {
    return socket_;
  }
  /** \brief Asks the caller to open a new connection next time. */
  auto SetClose() -> void { close_ = true; }

private:
  [[nodiscard]] auto Head(const ReplyOptions& aReply) const -> std::string;

  std::shared_ptr<CallerSocket> socket_;
  bool close_;
  bool begun_ = false;
};

} // namespace goldcrestcroft
