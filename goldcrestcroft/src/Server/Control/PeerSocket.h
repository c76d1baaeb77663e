#pragma once

#include "../Settings.h"

#include <optional>
#include <string>

namespace goldcrestcroft {

/** \brief The datagram socket between entry hosts; never blocks. */
class PeerSocket
{
public:
  /** \brief Fails with Unavailable when the address cannot be bound. */
  static auto Open(const Endpoint& aListen) -> Result<PeerSocket>;
  ~PeerSocket();
  PeerSocket(PeerSocket&& aOther) noexcept;
  auto operator=(PeerSocket&&) -> PeerSocket& = delete;

  /** \brief Sends, or drops the datagram as a network would. */
  auto Send(const Endpoint& aTo, const std::string& aDatagram) const -> void;

  struct Received
  {
    std::string datagram_;
    Endpoint from_;
  };
  /** \brief The next datagram, if one has arrived. */
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
