#include "EntryFleet.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <sstream>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** Idle timeouts before and after a change; a caller waits for four fifths of
 * one of them. */
struct Change
{
  unsigned fromMs_ = 0;
  unsigned toMs_ = 0;
};

/** Sends the call on a connection that stays open. Returns the status of the
 * response; 0 if no complete one arrives. */
auto SendOn(Tcp::socket& aSocket, const CallerCall& aCall) -> int
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
  http::response<http::string_body> response;
  http::read(aSocket, buffer, response, error);
  return error ? 0 : static_cast<int>(response.result_int());
}

/** Lets callers send a request, changes the idle timeout, and lets them send
 * another one after four fifths of aWaitMs. Returns how many got both
 * responses. */
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
  const timeval timeout{ .tv_sec = 8 };
  auto callers = aFleet.OpenConnections(0, kCallers);
  auto served = 0;
  for (const auto& caller : callers) {
    setsockopt(caller->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    REQUIRE(SendOn(*caller, aFleet.MakeCall("/safe/x")) == 200);
  }
  aFleet.Platform().PutConfig(++aVersion, "", { "key1" },
                              std::chrono::milliseconds{ aChange.toMs_ });
  REQUIRE(inForce());
  std::this_thread::sleep_for(std::chrono::milliseconds{ aWaitMs * 4 / 5 });
  for (const auto& caller : callers) {
    served += SendOn(*caller, aFleet.MakeCall("/safe/x")) == 200 ? 1 : 0;
  }
  return served;
}

} // namespace

TEST_CASE("callers that reuse connections within the idle timeout are served, "
          "also if it is raised or lowered")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  auto version = 1U;
  const Change raised{ .fromMs_ = 1500, .toMs_ = 5000 };
  const Change lowered{ .fromMs_ = 5000, .toMs_ = 1500 };
  CHECK(CountServed(fleet, version, raised, raised.toMs_) == 12);
  CHECK(CountServed(fleet, version, lowered, lowered.toMs_) == 12);
  CHECK(CountServed(fleet, version, lowered, lowered.fromMs_) == 12);
  CHECK(CountServed(fleet, version, raised, raised.fromMs_) == 12);
}

} // namespace testing
