#pragma once

#include "../Settings.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief Non-blocking UDP socket for datagrams between entry hosts. */
class PeerSocket
{
public:
  /** \brief Fails with Unavailable when the address cannot be bound. */
  static auto Open(const Endpoint& aListen) -> Result<PeerSocket>;
  ~PeerSocket();
  PeerSocket(PeerSocket&& aOther) noexcept;
  auto operator=(PeerSocket&&) -> PeerSocket& = delete;

  /** \brief Sends the datagram; drops it silently if that fails. */
  auto Send(const Endpoint& aTo, const std::string& aDatagram) const -> void;

  struct Received
  {
    std::string datagram_;
    Endpoint from_;
  };
  /** \brief Returns the next datagram, if one has arrived. */
  [[nodiscard]] auto Receive() const -> std::optional<Received>;
  [[nodiscard]] auto Descriptor() const -> int { return descriptor_; }

private:
  explicit PeerSocket(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }

  int descriptor_ = -1;
};

} // namespace goldcrestcroft
