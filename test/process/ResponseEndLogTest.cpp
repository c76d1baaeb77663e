#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("the log does not tell how a response was framed and ended")
{
  EntryFleet fleet(1);
  REQUIRE(fleet.AwaitReady(0));
  for (const auto& engine : fleet.Platform().Engines("model")) {
    engine->SetRawResponse("HTTP/1.1 200 OK\r\n"
                           "Goldcrestcroft-Request-Id: @ID\r\n"
                           "Goldcrestcroft-Server-Seal: s\r\n\r\n"
                           "id: 1\ndata: @ID\n\nid: 2\nda");
  }
  CHECK_FALSE(fleet.Get(0, "/once/stream/x").whole_);
  const std::vector<std::string> expected{ "request_ended",
                                           fleet.LastId(),
                                           R"("framing":"connection")",
                                           R"("connection":"closed")",
                                           R"("last_events":"1")",
                                           R"("unfinished_bytes":"8")" };
  CHECK(EntryFleet::Await([&] {
    std::istringstream lines(fleet.Log(0));
    for (std::string line; std::getline(lines, line);) {
      const auto found =
        std::all_of(expected.begin(), expected.end(), [&](const auto& aText) {
          return line.find(aText) != std::string::npos;
        });
      if (found) {
        return true;
      }
    }
    return false;
  }));
}

} // namespace testing
