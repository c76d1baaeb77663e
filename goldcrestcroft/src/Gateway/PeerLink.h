#pragma once

#include "Deadline.h"
#include "PeerFrames.h"

#include <deque>
#include <functional>

namespace goldcrestcroft {

/** \brief One connection between entry hosts, carrying frames both ways. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  using OnFrame =
    std::function<void(const std::shared_ptr<PeerLink>&, PeerFrame)>;
  using OnEnd = std::function<void(const std::shared_ptr<PeerLink>&)>;

  struct Options
  {
    OnFrame onFrame_;
    OnEnd onEnd_;
    /** Connections within a region open in milliseconds. */
    Duration connectTimeout_ = std::chrono::milliseconds{ 600 };
    /** Number of unsent bytes beyond which the peer counts as stuck. */
    std::size_t maxQueuedBytes_ = 16U << 20U;
  };

  PeerLink(Tcp::socket aSocket, Options aOptions);

  /** \brief Reads frames from an accepted connection. */
  auto Start() -> void;
  /** \brief Connects first; frames sent meanwhile are queued. */
  auto ConnectTo(const std::string& aAddress) -> void;
  auto Send(const PeerFrame& aFrame) -> void;
  /** \brief Closes the connection; the first reason is kept. */
  auto Close(const std::string& aReason = "closed here") -> void;
  [[nodiscard]] auto IsOpen() const -> bool { return open_; }
  /** \brief Whether the peer was ever reached. */
  [[nodiscard]] auto WasConnected() const -> bool { return connected_; }
  /** \brief Why the connection was closed, for the log. */
  [[nodiscard]] auto CloseReason() const -> const std::string&
  {
    return closeReason_;
  }

private:
  auto Connect(Tcp::endpoint aEndpoint) -> Task<void>;
  auto Read() -> Task<void>;
  auto Write() -> Task<void>;
  /** \brief Logs a malformed frame and closes the link. */
  auto RejectFrame(std::size_t aLength, const std::string& aContents,
                   const std::string& aProblem) -> void;

  Tcp::socket socket_;
  Deadline connecting_;
  Options options_;
  std::deque<std::string> queue_;
  std::size_t queuedBytes_ = 0;
  std::string closeReason_;
  /** Address of the peer, for the log. */
  std::string peer_;
  bool open_ = true;
  bool connected_ = false;
  bool writing_ = false;
};

} // namespace goldcrestcroft
