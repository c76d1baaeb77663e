#include "../soak/HostEnd.h"

#include <doctest/doctest.h>

namespace testing {

using soak::HostEnd;

TEST_CASE("an exit by SIGTERM is excused only before the host serves")
{
  CHECK_FALSE(
    HostEnd{ .code_ = 0, .wasOpen_ = true, .hasSpoken_ = true }.Problem());
  CHECK_FALSE(HostEnd{ .code_ = -SIGTERM }.Problem());
  CHECK(HostEnd{ .code_ = -SIGTERM, .hasSpoken_ = true }.Problem());
  CHECK(HostEnd{ .code_ = -SIGTERM, .wasOpen_ = true }.Problem());
  for (const auto code : { 1, -SIGSEGV, -SIGHUP, -SIGINT, -SIGABRT }) {
    CHECK(HostEnd{ .code_ = code }.Problem());
  }
}

} // namespace testing
