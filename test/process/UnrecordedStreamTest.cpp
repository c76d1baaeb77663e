#include "VersionedFleet.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using EndpointState = standins::StoreStandin::EndpointState;
using Stream = VersionedFleet::Stream;
using std::chrono::milliseconds;

constexpr std::size_t kHosts = 2;
constexpr std::size_t kStreams = 12;

auto SetStore(VersionedFleet& aFleet, EndpointState aState) -> void
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    aFleet.Store().SetEndpointState(host, aState);
  }
}

auto SetPause(VersionedFleet& aFleet, milliseconds aPause) -> void
{
  for (const auto& engine : aFleet.Engines()) {
    engine->pauseMs_ = static_cast<int>(aPause.count());
  }
}

auto Collect(std::vector<std::future<Stream>> aStreams) -> std::vector<Stream>
{
  std::vector<Stream> streams;
  streams.reserve(aStreams.size());
  for (auto& stream : aStreams) {
    streams.push_back(stream.get());
  }
  return streams;
}

} // namespace

TEST_CASE("a stream whose version was not recorded before its host was killed "
          "does not go on at another version")
{
  for (const auto outage : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(outage));
    VersionedFleet fleet(kHosts, { "1", "2", "2", "2" },
                         { .extraStoreEndpoints_ = kHosts });
    REQUIRE(fleet.AwaitReady());
    SetPause(fleet, milliseconds{ 350 });
    SetStore(fleet, outage);
    auto begun = fleet.BeginAtOnce(0, kStreams);
    std::this_thread::sleep_for(milliseconds{ 1300 });
    fleet.KillAll();
    auto streams = Collect(std::move(begun));
    std::erase_if(streams,
                  [](const auto& aStream) { return !aStream.HasEvents(); });
    CHECK_FALSE(streams.empty());
    SetPause(fleet, milliseconds{ 5 });
    SetStore(fleet, EndpointState::Open);
    REQUIRE(fleet.StartAll());
    for (auto& stream : streams) {
      CHECK(stream.body_.starts_with("id: 1\n"));
      fleet.TakeUp(1, stream);
      CAPTURE(stream.body_);
      CAPTURE(stream.last_.body_);
      CHECK(stream.last_.status_ == 200);
      CHECK(stream.HasOneVersion());
    }
  }
}

TEST_CASE("streams whose version cannot be recorded for a moment begin once "
          "the store replies")
{
  for (const auto outage : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(outage));
    VersionedFleet fleet(kHosts, { "1", "2", "2", "2" },
                         { .extraStoreEndpoints_ = kHosts });
    REQUIRE(fleet.AwaitReady());
    fleet.SetVersions({ "", "2", "2", "2" });
    SetStore(fleet, outage);
    auto begun = fleet.BeginAtOnce(0, kStreams);
    std::this_thread::sleep_for(milliseconds{ 300 });
    SetStore(fleet, EndpointState::Open);
    const auto streams = Collect(std::move(begun));
    fleet.KillAll();
    REQUIRE(fleet.StartAll());
    fleet.SetVersions({ "1", "2", "2", "2" });
    for (auto stream : streams) {
      CAPTURE(stream.body_);
      REQUIRE(stream.IsWhole());
      // The client has lost its connection after two events.
      stream.body_.resize(stream.body_.find("id: 3"));
      fleet.TakeUp(1, stream);
      CHECK(stream.IsWhole());
      CHECK(stream.HasOneVersion());
    }
  }
}

TEST_CASE("a stream whose version cannot be recorded in time is refused "
          "without running")
{
  for (const auto outage : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(outage));
    VersionedFleet fleet(kHosts, { "1", "2", "2" },
                         { .extraStoreEndpoints_ = kHosts });
    REQUIRE(fleet.AwaitReady());
    fleet.SetVersions({ "", "2", "2" });
    SetStore(fleet, outage);
    // The outage is noticed by its first write.
    const auto first = fleet.Begin(0);
    CHECK_FALSE(first.HasEvents());
    CHECK(first.last_.status_ == 502);
    std::this_thread::sleep_for(milliseconds{ 1500 });
    const auto received = fleet.Received();
    const auto begun = std::chrono::steady_clock::now();
    const auto refused = fleet.Begin(0);
    CHECK(refused.last_.status_ == 503);
    CHECK(refused.last_.headers_.contains("Retry-After"));
    CHECK(refused.body_.find("stream_not_recorded") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - begun < milliseconds{ 500 });
    CHECK(fleet.Received() == received);
    SetStore(fleet, EndpointState::Open);
    CHECK(EntryFleet::Await([&] { return fleet.Begin(0).IsWhole(); }));
  }
}

} // namespace testing
