#include "RawFleet.h"

#include <sstream>

namespace testing {

namespace {

/** The body as one chunk and the last chunk. */
auto Chunked(const std::string& aBody) -> std::string
{
  std::ostringstream size;
  size << std::hex << aBody.size();
  return size.str() + "\r\n" + aBody + "\r\n0\r\n\r\n";
}

} // namespace

TEST_CASE("a stream that ends inside an event is not delivered as complete")
{
  const std::string crlfEvent = "id: 2\r\ndata: 2\r\n\r\n";
  const std::vector<std::string> parts{ "i",
                                        "id: 2",
                                        "id: 2\n",
                                        "id: 2\nda",
                                        "data: 2\n",
                                        "id: 2\ndata: 2\n",
                                        "id: 2\r\n",
                                        "id: 2\r\ndata: 2\r",
                                        ": a comment",
                                        "id: 2\r\ndata: 2\r\n",
                                        "id: 2\r\ndata: 2\r\n\r" };
  for (const auto* target : { "/stream/x", "/once/stream/x" }) {
    for (const auto& before : { std::string(), kEvent, kEvent + crlfEvent }) {
      // A fleet for each, since engines that fail repeatedly are suspended.
      RawFleet fleet;
      for (const auto& part : parts) {
        CAPTURE(target);
        CAPTURE(before);
        CAPTURE(part);
        // @ID is replaced by 16 characters at the engine.
        const auto body = before.empty() ? part : ": a\n\n" + part;
        CHECK_FALSE(
          IsComplete(fleet.Get(target, kHead + "\r\n" + before + part)));
        CHECK_FALSE(IsComplete(
          fleet.Get(target, kHead + "Transfer-Encoding: chunked\r\n\r\n" +
                              Chunked(body))));
        CHECK_FALSE(IsComplete(fleet.Get(
          target, kHead + "Content-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body)));
      }
    }
  }
}

TEST_CASE("a response without a length is complete only at an orderly close")
{
  RawFleet fleet;
  for (const auto* target : { "/stream/x", "/once/stream/x", "/safe/x" }) {
    CAPTURE(target);
    const auto closed =
      fleet.Get(target, kHead + "\r\n" + kEvent + kSecondEvent);
    CHECK(IsComplete(closed));
    CHECK(CountOf(closed.body_, "data: " + fleet.LastId() + "\n\n") == 2);
  }
  for (const auto* target : { "/stream/x", "/once/stream/x", "/safe/x" }) {
    CAPTURE(target);
    CHECK_FALSE(
      IsComplete(fleet.Get(target, kHead + "\r\n" + kEvent + kSecondEvent,
                           standins::RawEnd::Resets)));
  }
}

} // namespace testing
