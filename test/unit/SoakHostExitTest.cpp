#include "../soak/HostExit.h"

#include <doctest/doctest.h>

namespace testing {

using soak::HostExit;

TEST_CASE("an exit by SIGTERM is excused only before the host serves")
{
  CHECK_FALSE(
    HostExit{ .code_ = 0, .wasOpen_ = true, .hasLogged_ = true }.Problem());
  CHECK_FALSE(HostExit{ .code_ = -SIGTERM }.Problem());
  CHECK(HostExit{ .code_ = -SIGTERM, .hasLogged_ = true }.Problem());
  CHECK(HostExit{ .code_ = -SIGTERM, .wasOpen_ = true }.Problem());
  for (const auto code : { 1, -SIGSEGV, -SIGHUP, -SIGINT, -SIGABRT }) {
    CHECK(HostExit{ .code_ = code }.Problem());
  }
}

} // namespace testing
