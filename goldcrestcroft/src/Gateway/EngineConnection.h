#pragma once

#include "Deadline.h"

#include <string>

namespace goldcrestcroft {

/** \brief A TCP connection to an engine. It carries one request and its
 * response at a time. */
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
  explicit EngineConnection(asio::io_context& aContext)
    : socket_(aContext)
    , deadline_(aContext.get_executor(), [this] { return HasUnread(); })
  {
  }

  /** \brief Returns how much longer to wait; zero to let the time expire. */
  using Extension = std::function<Duration()>;
  /** \brief Closes the connection unless Disarm is called within aTime. Each
   * time the time expires, aExtension may extend it. */
  auto CloseAfter(Duration aTime, Extension aExtension = {}) -> void;
  /** \brief Like CloseAfter, but if the request is completely written, the
   * pending read is cancelled and the connection stays open. */
  auto PauseAfter(Duration aTime, Extension aExtension = {}) -> void;
  /** \brief Whether the last PauseAfter has expired and cancelled reading. */
  [[nodiscard]] auto IsPaused() const -> bool { return paused_; }
  auto Disarm() -> void;
  auto Close() -> void;
  [[nodiscard]] auto IsOpen() const -> bool { return socket_.is_open(); }
  [[nodiscard]] auto OpenedAt() const -> TimePoint { return openedAt_; }
  auto SetOpenedAt(TimePoint aTime) -> void { openedAt_ = aTime; }
  /** \brief Whether the connection was closed by a time-out. */
  [[nodiscard]] auto TimedOut() const -> bool { return timedOut_; }
  /** \brief Whether received bytes were still unread when the time of
   * CloseAfter expired. */
  [[nodiscard]] auto HadUnreadAtTimeout() const -> bool
  {
    return hadUnreadAtTimeout_;
  }
  /** \brief When bytes were last received in this exchange; before the first
   * bytes, when the exchange began. */
  [[nodiscard]] auto LastActivityAt() const -> TimePoint
  {
    return lastActivityAt_;
  }
  auto NoteReceived() -> void
  {
    lastActivityAt_ = clock_.Now();
    hasReceived_ = true;
  }
  /** \brief Whether any bytes were received in this exchange. */
  [[nodiscard]] auto HasReceived() const -> bool { return hasReceived_; }
  /** \brief Whether received bytes are waiting to be parsed or read. */
  [[nodiscard]] auto HasUnread() -> bool;

  /** \brief Whether the connection was reset or timed out, whichever operation
   * the error was reported to. */
  [[nodiscard]] auto WasReset() -> bool { return IsReset(socket_); }

  /** \brief Connects within aTimeout. The error code is zero on success. */
  auto Connect(const std::string& aAddress, Duration aTimeout)
    -> Task<boost::system::error_code>;
  /** \brief Starts writing a request. A large request is written while the
   * response is awaited, since an engine may respond before it has read the
   * whole request. Returns false if writing failed. */
  auto BeginWrite(std::string aBytes) -> Task<bool>;
  /** \brief Whether the whole request is written. */
  [[nodiscard]] auto WriteDone() const -> bool { return writeDone_; }
  /** \brief Whether bytes of the request may have reached the engine. */
  [[nodiscard]] auto WriteBegun() const -> bool { return writeBegun_; }
  /** \brief Clears the state of the previous exchange. */
  auto ResetExchange() -> void;

  auto Socket() -> Tcp::socket& { return socket_; }
  auto Buffer() -> beast::flat_buffer& { return buffer_; }

private:
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  Deadline deadline_;
  std::string outgoing_;
  SuspendAwareClock clock_;
  TimePoint openedAt_;
  TimePoint lastActivityAt_;
  bool hasReceived_ = false;
  bool timedOut_ = false;
  bool paused_ = false;
  bool hadUnreadAtTimeout_ = false;
  bool writeBegun_ = false;
  bool writeDone_ = false;
};

} // namespace goldcrestcroft
