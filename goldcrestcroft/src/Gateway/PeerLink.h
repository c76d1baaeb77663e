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
    /** Unsent bytes beyond which the other end counts as stuck. */
    std::size_t maxQueuedBytes_ = 16U << 20U;
  };

  PeerLink(Tcp::socket aSocket, Options aOptions);

  /** \brief Reads frames from an accepted connection. */
  auto Start() -> void;
  /** \brief Connects first; frames sent meanwhile wait. */
  auto StartTo(const std::string& aAddress) -> void;
  auto Send(const PeerFrame& aFrame) -> void;
  /** \brief Ends the connection; the first reason counts. */
  auto Close(const std::string& aReason = "closed here") -> void;
  [[nodiscard]] auto IsOpen() const -> bool { return open_; }
  /** \brief Whether the other end was ever reached. */
  [[nodiscard]] auto WasConnected() const -> bool { return connected_; }
  /** \brief Why it ended, for the log. */
  [[nodiscard]] auto WhyEnded() const -> const std::string& { return why_; }

private:
  auto Connect(Tcp::endpoint aEndpoint) -> Task<void>;
  auto Read() -> Task<void>;
  auto Write() -> Task<void>;
  /** \brief Closes the link for bytes that are no frame. */
  auto Refuse(std::size_t aLength, const std::string& aContents,
              const std::string& aProblem) -> void;

  Tcp::socket socket_;
  Deadline connecting_;
  Options options_;
  std::deque<std::string> queue_;
  std::size_t queuedBytes_ = 0;
  std::string why_;
  /** Address of the other end, for the log. */
  std::string peer_;
  bool open_ = true;
  bool connected_ = false;
  bool writing_ = false;
};

} // namespace goldcrestcroft
