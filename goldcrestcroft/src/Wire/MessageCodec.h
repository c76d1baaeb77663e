#pragma once

#include "Message.h"

#include <string>

namespace goldcrestcroft {

/** \brief Largest datagram that is sent or accepted, in bytes. */
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

/** \brief Seals messages into datagrams and opens them again.
 *
 * A datagram carries an HMAC-SHA256 over its contents under a key that all
 * entry hosts share. Nothing is decoded before the tag is verified. */
class MessageCodec
{
public:
  explicit MessageCodec(std::string aSharedKey)
    : sharedKey_(std::move(aSharedKey))
  {
  }

  /** \brief Fails with TooLarge above kMaxDatagramBytes. */
  [[nodiscard]] auto Seal(const Message& aMessage) const -> Result<std::string>;

  /** \brief Fails with Forbidden on a wrong tag, and with Protocol on contents
   * that are no message. */
  [[nodiscard]] auto Open(std::string_view aDatagram) const -> Result<Message>;

  /** \brief The tag that goes before these contents. */
  [[nodiscard]] auto Tag(std::string_view aContents) const -> std::string;

private:
  std::string sharedKey_;
};

} // namespace goldcrestcroft
