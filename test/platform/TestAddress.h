#pragma once

#include <cstdlib>
#include <string>

namespace standins {

/** \brief The loopback address of all processes of a test: TEST_IP, or
 * 127.0.0.1. Tests with different addresses may run beside each other. */
inline auto TestIp() -> std::string
{
  const auto* address = std::getenv("TEST_IP");
  return address == nullptr ? "127.0.0.1" : address;
}

} // namespace standins
