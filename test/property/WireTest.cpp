#include "Property.h"

#include <goldcrestcroft/Wire.h>

namespace testing {

namespace {

using namespace goldcrestcroft;

const MessageCodec kCodec("a key that all hosts share");

auto Sealed(const Message& aMessage) -> std::string
{
  return Handle([&] { return kCodec.Seal(aMessage); },
                [](const Error&) { return std::string(); });
}

enum class OpenResult
{
  Message,
  Forbidden,
  Protocol,
  Other
};

auto TryOpen(const std::string& aDatagram, Message* aMessage = nullptr)
  -> OpenResult
{
  return Handle(
    [&]() -> Result<OpenResult> {
      BOOST_LEAF_AUTO(message, kCodec.Open(aDatagram));
      if (aMessage != nullptr) {
        *aMessage = std::move(message);
      }
      return OpenResult::Message;
    },
    [](const Error& aError) {
      return aError.kind_ == ErrorKind::Forbidden  ? OpenResult::Forbidden
             : aError.kind_ == ErrorKind::Protocol ? OpenResult::Protocol
                                                   : OpenResult::Other;
    });
}

auto Example() -> Heartbeat
{
  return { .sender_ = { .host_ = { "h1" },
                        .incarnation_ = 7,
                        .heartbeat_ = 9,
                        .zone_ = { "z" },
                        .callerAddress_ = "127.0.0.1:8001",
                        .peerAddress_ = "127.0.0.1:9001",
                        .leaving_ = true },
           .newestVersion_ = 12,
           .load_ = { .version_ = 12,
                      .servers_ = { { .server_ = 3, .own_ = 4 } },
                      .demands_ = { { .pool_ = 1, .queued_ = 6 } } },
           .relayedRecords_ = { { .host_ = { "h2" } } },
           .leavingServers_ = { { "s" } },
           .reservedServers_ = { { "r" } },
           .quarantineUpdates_ = {
             { .fingerprint_ = 5, .verdict_ = Verdict::Quarantined } } };
}

/** \brief A datagram with arbitrary contents and a valid tag. */
auto Tagged(const std::string& aContents) -> std::string
{
  return kCodec.Tag(aContents) + aContents;
}

} // namespace

TEST_CASE("wire: a sealed message opens to the same message")
{
  const Message messages[] = {
    Example(), PatchRequest{ 5 },
    PatchReply{ { { .number_ = 6, .author_ = "a", .operations_ = "[]" } } }
  };
  for (const auto& message : messages) {
    Message opened;
    CHECK(TryOpen(Sealed(message), &opened) == OpenResult::Message);
    CHECK(opened == message);
  }
}

TEST_CASE("wire: a datagram with a changed byte is rejected as forbidden")
{
  const auto datagram = Sealed(Example());
  CheckProperty([&] {
    auto changed = datagram;
    const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[at] =
      static_cast<char>(changed[at] ^ *rc::gen::inRange<int>(1, 256));
    RC_ASSERT(TryOpen(changed) == OpenResult::Forbidden);
  });
}

TEST_CASE(
  "wire: hostile contents with a valid tag give typed errors without large "
  "allocations")
{
  const auto sealed = Sealed(Example());
  const auto contents = sealed.substr(32);
  CheckProperty([&] {
    auto hostile = contents;
    for (auto i = 0; i < 4; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, hostile.size());
      hostile[at] = static_cast<char>(*rc::gen::inRange<int>(0, 256));
    }
    hostile.resize(*rc::gen::inRange<std::size_t>(1, hostile.size() + 1));
    const auto opened = TryOpen(Tagged(hostile));
    RC_ASSERT(opened == OpenResult::Message || opened == OpenResult::Protocol);
  });
  // The maximum value of a length field, with no data after it.
  CHECK(TryOpen(Tagged(contents.substr(0, 2) + "\xff\xff")) ==
        OpenResult::Protocol);
}

TEST_CASE("wire: sealing a message larger than a datagram fails")
{
  PatchReply reply;
  for (auto i = 0; i < 10; ++i) {
    reply.patches_.push_back({ .operations_ = std::string(20'000, 'x') });
  }
  CHECK(Sealed(reply).empty());
}

} // namespace testing
