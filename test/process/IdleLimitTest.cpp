#include "EntryFleet.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <sstream>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** One idle time and the next; a caller waits for four fifths of one. */
struct Change
{
  unsigned fromMs_ = 0;
  unsigned toMs_ = 0;
};

/** Status of the answer to the call on a connection that is kept; 0 without a
 * whole one. */
auto Ask(Tcp::socket& aSocket, const CallerCall& aCall) -> int
{
  http::request<http::empty_body> request(http::verb::get, aCall.target_, 11);
  for (const auto& [name, value] : aCall.headers_) {
    request.set(name, value);
  }
  boost::system::error_code error;
  http::write(aSocket, request, error);
  if (error) {
    return 0;
  }
  beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  http::read(aSocket, buffer, answer, error);
  return error ? 0 : static_cast<int>(answer.result_int());
}

/** Has callers ask, changes the idle time, and has them ask again after four
 * fifths of aWaitMs. Returns how many got both answers. */
auto CountServed(EntryFleet& aFleet, unsigned& aVersion, const Change& aChange,
                 unsigned aWaitMs) -> int
{
  constexpr std::size_t kCallers = 12;
  const auto inForce = [&] {
    return EntryFleet::Await([&] {
      std::istringstream log(aFleet.Log(0));
      const auto version = "\"version\":\"" + std::to_string(aVersion) + '"';
      for (std::string line; std::getline(log, line);) {
        if (line.find("configuration_in_force") != std::string::npos &&
            line.find(version) != std::string::npos) {
          return true;
        }
      }
      return false;
    });
  };
  aFleet.Platform().PutConfig(++aVersion, "", { "key1" },
                              std::chrono::milliseconds{ aChange.fromMs_ });
  REQUIRE(inForce());
  const timeval patience{ .tv_sec = 8 };
  auto callers = aFleet.OpenConnections(0, kCallers);
  auto served = 0;
  for (const auto& caller : callers) {
    setsockopt(caller->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof(patience));
    REQUIRE(Ask(*caller, aFleet.MakeCall("/safe/x")) == 200);
  }
  aFleet.Platform().PutConfig(++aVersion, "", { "key1" },
                              std::chrono::milliseconds{ aChange.toMs_ });
  REQUIRE(inForce());
  std::this_thread::sleep_for(std::chrono::milliseconds{ aWaitMs * 4 / 5 });
  for (const auto& caller : callers) {
    served += Ask(*caller, aFleet.MakeCall("/safe/x")) == 200 ? 1 : 0;
  }
  return served;
}

} // namespace

TEST_CASE("callers that reuse connections within the idle time are served, "
          "however it changes")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  auto version = 1U;
  const Change rise{ .fromMs_ = 1500, .toMs_ = 5000 };
  const Change fall{ .fromMs_ = 5000, .toMs_ = 1500 };
  CHECK(CountServed(fleet, version, rise, rise.toMs_) == 12);
  CHECK(CountServed(fleet, version, fall, fall.toMs_) == 12);
  CHECK(CountServed(fleet, version, fall, fall.fromMs_) == 12);
  CHECK(CountServed(fleet, version, rise, rise.fromMs_) == 12);
}

} // namespace testing
