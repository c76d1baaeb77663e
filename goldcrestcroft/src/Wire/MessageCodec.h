#pragma once

#include "Message.h"

#include <string>

namespace goldcrestcroft {

/** \brief Maximum size of a datagram that is sent or accepted, in bytes. */
inline constexpr std::size_t kMaxDatagramBytes = 60'000;

/** \brief Encodes messages as authenticated datagrams and decodes them.
 *
 * A datagram starts with an HMAC-SHA256 tag over its contents, computed with a
 * key that all entry hosts share. Contents are decoded only after the tag has
 * been verified. The contents are not encrypted. */
class MessageCodec
{
public:
  explicit MessageCodec(std::string aSharedKey)
    : sharedKey_(std::move(aSharedKey))
  {
  }

  /** \brief Encodes a message. Fails with TooLarge above kMaxDatagramBytes. */
  [[nodiscard]] auto Seal(const Message& aMessage) const -> Result<std::string>;

  /** \brief Verifies and decodes a datagram. Fails with Forbidden on a wrong
   * tag, and with Protocol on an invalid size or invalid contents. */
  [[nodiscard]] auto Open(std::string_view aDatagram) const -> Result<Message>;

  /** \brief The tag that precedes these contents in a datagram. */
  [[nodiscard]] auto Tag(std::string_view aContents) const -> std::string;

private:
  std::string sharedKey_;
};

} // namespace goldcrestcroft
