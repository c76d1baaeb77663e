#include "MessageCodec.h"

#include "MessageArchive.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <sstream>

namespace goldcrestcroft {

namespace {

constexpr std::size_t kTagBytes = 32;

template<typename Kind>
auto Decode(cereal::PortableBinaryInputArchive& aArchive) -> Message
{
  Kind message;
  internal::Archive(aArchive, message);
  return message;
}

} // namespace

auto MessageCodec::Tag(std::string_view aContents) const -> std::string
{
  std::string tag(kTagBytes, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), sharedKey_.data(), static_cast<int>(sharedKey_.size()),
       reinterpret_cast<const unsigned char*>(aContents.data()),
       aContents.size(), reinterpret_cast<unsigned char*>(tag.data()), &size);
  return tag;
}

auto MessageCodec::Seal(const Message& aMessage) const -> Result<std::string>
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(static_cast<std::uint8_t>(aMessage.index()));
  std::visit(
    [&](const auto& aKind) {
      auto kind = aKind;
      internal::Archive(archive, kind);
    },
    aMessage);
  const auto contents = std::move(out).str();
  if (contents.size() + kTagBytes > kMaxDatagramBytes) {
    return Fail({ .kind_ = ErrorKind::TooLarge,
                  .message_ = "the message exceeds the maximum datagram size",
                  .remedy_ = "send fewer items at a time" });
  }
  return Tag(contents) + contents;
}

auto MessageCodec::Open(std::string_view aDatagram) const -> Result<Message>
{
  if (aDatagram.size() <= kTagBytes || aDatagram.size() > kMaxDatagramBytes) {
    return Fail(
      { .kind_ = ErrorKind::Protocol,
        .message_ = "the datagram size is outside the accepted range",
        .remedy_ = "restrict access to the peer port to entry hosts" });
  }
  const auto contents = aDatagram.substr(kTagBytes);
  const auto tag = Tag(contents);
  if (CRYPTO_memcmp(tag.data(), aDatagram.data(), kTagBytes) != 0) {
    return Fail(
      { .kind_ = ErrorKind::Forbidden,
        .message_ = "the authentication tag of the datagram is wrong",
        .remedy_ = "give all entry hosts the same peers.shared_key" });
  }
  try {
    std::istringstream in{ std::string(contents) };
    cereal::PortableBinaryInputArchive archive(in);
    std::uint8_t kind = 0;
    archive(kind);
    switch (kind) {
      case 0:
        return Decode<Heartbeat>(archive);
      case 1:
        return Decode<PatchRequest>(archive);
      case 2:
        return Decode<PatchReply>(archive);
      default:
        break;
    }
  } catch (const std::exception&) {
    // cereal and the bounded types throw on truncated or oversized input.
  }
  return Fail({ .kind_ = ErrorKind::Protocol,
                .message_ = "the datagram does not contain a valid message",
                .remedy_ = "run the same release on all entry hosts" });
}

} // namespace goldcrestcroft
