#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("a body in small chunks is not refused since its header was large")
{
  EntryFleet fleet(1, { .maxHeaderBytes_ = 65'536 });
  REQUIRE(fleet.AwaitReady(0));
  constexpr auto kChunks = 60;
  constexpr std::size_t kChunkBytes = 1000;
  const std::string piece(kChunkBytes, 'c');
  std::string chunks;
  for (auto i = 0; i < kChunks; ++i) {
    chunks += "3e8\r\n" + piece + "\r\n";
  }
  auto call = fleet.MakeCall("/safe/x");
  std::string head = "POST /safe/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
  for (const auto& [name, value] : call.headers_) {
    head += name + ": " + value + "\r\n";
  }
  // The padding is for this connection alone: engines take smaller headers.
  for (const std::size_t padding : { 0U, 8'000U, 40'000U }) {
    CAPTURE(padding);
    call.raw_ = head +
                "Connection: Padding\r\nPadding: " + std::string(padding, 'p') +
                "\r\n\r\n" + chunks + "0\r\n\r\n";
    const auto answer = SendCall(fleet.CallerAddress(0), call);
    CHECK(answer.status_ == 200);
    CHECK(answer.body_.find(std::string(kChunks * kChunkBytes, 'c')) !=
          std::string::npos);
  }
}

} // namespace testing
