#pragma once

#include "Deadline.h"

#include <string>

namespace goldcrestcroft {

/** \brief One connection to an engine; carries one exchange at a time. */
class EngineConnection : public std::enable_shared_from_this<EngineConnection>
{
public:
  explicit EngineConnection(asio::io_context& aContext)
    : socket_(aContext)
    , deadline_(aContext.get_executor(), [this] { return HasUnread(); })
  {
  }

  /** \brief More time; zero to close. */
  using Extension = std::function<Duration()>;
  /** \brief Closes the connection unless Disarm comes within aTime. aExtension
   * is asked each time that is over. */
  auto CloseAfter(Duration aTime, Extension aExtension = {}) -> void;
  /** \brief The same, but it ends the reading that is under way and leaves the
   * connection as it is, if the request is written. */
  auto PauseAfter(Duration aTime, Extension aExtension = {}) -> void;
  /** \brief Whether PauseAfter has ended a reading since it was called. */
  [[nodiscard]] auto IsPaused() const -> bool { return paused_; }
  auto Disarm() -> void;
  auto Close() -> void;
  [[nodiscard]] auto IsOpen() const -> bool { return socket_.is_open(); }
  [[nodiscard]] auto OpenedAt() const -> TimePoint { return openedAt_; }
  auto SetOpenedAt(TimePoint aTime) -> void { openedAt_ = aTime; }
  /** \brief Whether it was closed because its time was over. */
  [[nodiscard]] auto TimedOut() const -> bool { return timedOut_; }
  /** \brief Whether bytes waited to be read at that moment. */
  [[nodiscard]] auto LeftUnread() const -> bool { return leftUnread_; }
  /** \brief When bytes came last in this exchange, its beginning at first. */
  [[nodiscard]] auto HeardAt() const -> TimePoint { return heardAt_; }
  auto NoteHeard() -> void
  {
    heardAt_ = clock_.Now();
    heard_ = true;
  }
  /** \brief Whether any bytes came in this exchange. */
  [[nodiscard]] auto HasHeard() const -> bool { return heard_; }
  /** \brief Whether bytes have come that were not read yet. */
  [[nodiscard]] auto HasUnread() -> bool;

  /** \brief The error code is zero on success. */
  auto Connect(const std::string& aAddress, Duration aTimeout)
    -> Task<boost::system::error_code>;
  /** \brief Starts writing a request. Large ones are written while the answer
   * is awaited, since an engine may answer before it has read all. */
  auto BeginWrite(std::string aBytes) -> Task<bool>;
  /** \brief Whether the whole request is written. */
  [[nodiscard]] auto WriteDone() const -> bool { return writeDone_; }
  /** \brief Whether bytes of the request may have reached the engine. */
  [[nodiscard]] auto WriteBegun() const -> bool { return writeBegun_; }
  /** \brief Forgets the exchange before. */
  auto Renew() -> void;

  auto Socket() -> Tcp::socket& { return socket_; }
  auto Buffer() -> beast::flat_buffer& { return buffer_; }

private:
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  Deadline deadline_;
  std::string outgoing_;
  SuspendAwareClock clock_;
  TimePoint openedAt_;
  TimePoint heardAt_;
  bool heard_ = false;
  bool timedOut_ = false;
  bool paused_ = false;
  bool leftUnread_ = false;
  bool writeBegun_ = false;
  bool writeDone_ = false;
};

} // namespace goldcrestcroft
