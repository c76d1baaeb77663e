#include "VersionedFleet.h"

#include <doctest/doctest.h>

#include <set>

namespace testing {

namespace {

using Stream = VersionedFleet::Stream;

constexpr std::size_t kStreams = 8;

/** Takes the streams up at the host and checks that they go on at their
 * version. */
auto CheckGoOn(VersionedFleet& aFleet, std::size_t aHost,
               std::vector<Stream> aStreams) -> void
{
  for (auto& stream : aStreams) {
    aFleet.TakeUp(aHost, stream);
    CAPTURE(stream.body_);
    CAPTURE(stream.last_.body_);
    CHECK(stream.last_.status_ == 200);
    CHECK(stream.IsWhole());
    CHECK(stream.HasOneVersion());
  }
}

auto VersionsOf(const std::vector<Stream>& aStreams) -> std::set<std::string>
{
  std::set<std::string> versions;
  for (const auto& stream : aStreams) {
    versions.insert(stream.Version());
  }
  return versions;
}

/** Checks that the request was refused at once, without running. */
auto CheckRefused(VersionedFleet& aFleet, std::size_t aHost, Stream aStream,
                  const std::string& aReason, bool aNamesAttempt = true) -> void
{
  const auto received = aFleet.Received();
  const auto begun = std::chrono::steady_clock::now();
  const auto answer = aFleet.TakeUp(aHost, aStream, aNamesAttempt);
  CAPTURE(answer.body_);
  CHECK(answer.status_ == 503);
  CHECK(answer.body_.find(aReason) != std::string::npos);
  CHECK(answer.headers_.contains("Retry-After"));
  CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds{ 1 });
  CHECK(aFleet.Received() == received);
}

} // namespace

TEST_CASE("a stream taken up at any host goes on at its version")
{
  VersionedFleet fleet(3, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, kStreams);
  REQUIRE(VersionsOf(streams).size() == 2);
  CheckGoOn(fleet, 0, streams);
  CheckGoOn(fleet, 1, streams);
  fleet.Entries().ProcessOf(2).Kill();
  fleet.Entries().Start(2);
  REQUIRE(fleet.AwaitReady());
  CheckGoOn(fleet, 2, streams);
}

TEST_CASE("a stream taken up after all hosts were killed goes on at its "
          "version")
{
  VersionedFleet fleet(2, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, kStreams);
  REQUIRE(VersionsOf(streams).size() == 2);
  fleet.KillAll();
  REQUIRE(fleet.StartAll());
  CheckGoOn(fleet, 1, streams);
}

TEST_CASE("a stream that began while there was one version goes on at it after "
          "another one has appeared and all hosts were killed")
{
  VersionedFleet fleet(2, { "1", "1", "1" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, kStreams);
  fleet.KillAll();
  fleet.SetVersions({ "1", "2", "2" });
  REQUIRE(fleet.StartAll());
  CheckGoOn(fleet, 1, streams);
}

TEST_CASE("a stream is refused, not joined, once its version has gone and all "
          "hosts were killed")
{
  VersionedFleet fleet(2, { "1", "1", "1" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, 2);
  fleet.KillAll();
  fleet.SetVersions({ "2", "2", "2" });
  REQUIRE(fleet.StartAll());
  CheckRefused(fleet, 0, streams[0], "stream_version_gone");
  CheckRefused(fleet, 1, streams[1], "stream_version_gone");
  const auto later = fleet.BeginBroken(0, 2);
  fleet.SetVersions({ "3", "2", "3" });
  CheckGoOn(fleet, 1, later);
}

TEST_CASE("a stream is refused at once while nobody can tell its version")
{
  VersionedFleet fleet(2, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, kStreams);
  CheckRefused(fleet, 1, streams[0], "stream_version_unknown", false);
  fleet.Store().busy_ = true;
  CheckRefused(fleet, 1, streams[0], "stream_version_unknown");
  // This host has begun them itself.
  CheckGoOn(fleet, 0, streams);
  fleet.Store().busy_ = false;
  CheckGoOn(fleet, 1, streams);
}

TEST_CASE("while the store is away, a stream of the only version goes on at "
          "the host that began it and at no other")
{
  VersionedFleet fleet(2, { "1", "1" });
  REQUIRE(fleet.AwaitReady());
  const auto streams = fleet.BeginBroken(0, 2);
  fleet.Store().busy_ = true;
  CheckGoOn(fleet, 0, streams);
  for (const auto& stream : streams) {
    CheckRefused(fleet, 1, stream, "stream_version_unknown");
  }
  CheckRefused(fleet, 0, streams[0], "stream_version_unknown", false);
  fleet.Store().busy_ = false;
  CheckGoOn(fleet, 1, streams);
  auto unnamed = streams[0];
  CHECK(fleet.TakeUp(0, unnamed, false).status_ == 200);
}

TEST_CASE(
  "while the store is away, streams begin at the version that all hosts "
  "take them for")
{
  VersionedFleet fleet(2, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  fleet.Store().busy_ = true;
  std::vector<Stream> first;
  constexpr std::size_t kBegun = 12;
  for (std::size_t i = 0; i < kBegun; ++i) {
    auto stream = fleet.Begin(0);
    REQUIRE(stream.IsWhole());
    // The client has lost its connection after two events.
    stream.body_.resize(stream.body_.find("id: 3"));
    if (stream.Version() == "1") {
      first.push_back(stream);
    }
  }
  // The host notices with the first write that fails.
  CHECK(first.size() + 1 >= kBegun);
  fleet.KillAll();
  fleet.Store().busy_ = false;
  REQUIRE(fleet.StartAll());
  CheckGoOn(fleet, 1, first);
}

TEST_CASE("streams begin while the store is away")
{
  VersionedFleet fleet(1, { "1", "2" });
  REQUIRE(fleet.AwaitReady());
  fleet.Store().busy_ = true;
  for (auto i = 0; i < 6; ++i) {
    CHECK(fleet.Begin(0).IsWhole());
  }
}

TEST_CASE("a stream goes on at its version after the store lost its record")
{
  VersionedFleet fleet(2, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  const auto copied = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  const auto streams = fleet.BeginBroken(0, kStreams);
  REQUIRE(VersionsOf(streams).size() == 2);
  fleet.Store().Restore(std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - copied));
  fleet.Store().RewriteLost();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 5500 });
  CheckGoOn(fleet, 1, streams);
}

} // namespace testing
