#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace testing {

namespace {

constexpr auto kWritten = std::chrono::milliseconds{ 500 };
const std::string kEntry =
  std::string(BUILD_FOLDER) + "/goldcrestcroft/goldcrestcroft-entry";

/** A host whose settings file has only the given text for now. */
struct EarlyHost
{
  explicit EarlyHost(const std::optional<std::string>& aText)
  {
    if (aText) {
      std::ofstream(file_) << *aText;
    }
    process_ = Process(kEntry, { file_ }, folder_.Path() + "/log");
    std::this_thread::sleep_for(kWritten);
  }

  TempFolder folder_;
  std::string file_ = folder_.Path() + "/host.json";
  Process process_;
};

const std::optional<std::string> kIncomplete[] = { std::nullopt, "",
                                                   R"({"host": "h0", )" };

} // namespace

TEST_CASE("a host whose settings are incomplete at its start reads them again")
{
  for (const auto& text : kIncomplete) {
    CAPTURE(text.value_or("no file"));
    EarlyHost host(text);
    CHECK(host.process_.IsRunning());
    // A whole document without an identity.
    std::ofstream(host.file_) << "{}";
    CHECK(EntryFleet::Await([&] { return !host.process_.IsRunning(); }));
    CHECK(host.process_.ExitCode() == 78);
  }
}

TEST_CASE("a host whose settings become complete after its start serves")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  fleet.ChangeSettings(0, "}", "");
  fleet.Start(0);
  std::this_thread::sleep_for(kWritten);
  CHECK(fleet.ProcessOf(0).IsRunning());
  fleet.ChangeSettings(0, R"("directory_keep_s": 0.3)",
                       R"("directory_keep_s": 0.3})");
  CHECK(fleet.AwaitReady(0));
  CHECK(fleet.Get(0, "/safe/x").status_ == 200);
  CHECK(CountOf(fleet.Log(0), "is missing or incomplete") == 1);
}

TEST_CASE("a host that waits for its settings stops in order")
{
  for (const auto& text : kIncomplete) {
    CAPTURE(text.value_or("no file"));
    EarlyHost host(text);
    REQUIRE(host.process_.IsRunning());
    host.process_.Signal(SIGTERM);
    CHECK(host.process_.Wait() == 0);
  }
}

} // namespace testing
