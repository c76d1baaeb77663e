#include "VersionedFleet.h"

#include <doctest/doctest.h>

#include <set>

namespace testing {

TEST_CASE("a stream that breaks off goes on at an engine of its version")
{
  VersionedFleet fleet(1, { "1", "2", "1", "2" });
  REQUIRE(fleet.AwaitReady());
  for (const auto& engine : fleet.Engines()) {
    engine->breaksNewStreams_ = true;
  }
  std::set<std::string> versions;
  for (auto i = 0; i < 20; ++i) {
    const auto stream = fleet.Begin(0);
    CAPTURE(stream.body_);
    CHECK(stream.IsWhole());
    CHECK(stream.HasOneVersion());
    versions.insert(stream.Version());
  }
  CHECK(versions.size() == 2);
}

TEST_CASE("a stream whose version has no other engine is broken off rather "
          "than joined from two versions")
{
  VersionedFleet fleet(1, { "1", "2", "3" });
  REQUIRE(fleet.AwaitReady());
  for (const auto& engine : fleet.Engines()) {
    engine->breaksNewStreams_ = true;
  }
  for (auto i = 0; i < 10; ++i) {
    const auto stream = fleet.Begin(0);
    CAPTURE(stream.body_);
    CHECK(stream.last_.status_ == 200);
    CHECK_FALSE(stream.last_.whole_);
    CHECK(stream.HasOneVersion());
  }
}

TEST_CASE("a stream begins at another version if its first engine refuses it")
{
  VersionedFleet fleet(1, { "1", "2" });
  REQUIRE(fleet.AwaitReady());
  fleet.Engines()[0]->trouble_ = VersionedFleet::Engine::Trouble::Full;
  for (auto i = 0; i < 6; ++i) {
    const auto stream = fleet.Begin(0);
    CAPTURE(stream.body_);
    CHECK(stream.IsWhole());
    CHECK(stream.Version() == "2");
    CHECK(stream.HasOneVersion());
  }
}

TEST_CASE("streams of one version make no calls to the store")
{
  VersionedFleet fleet(1, { "1", "1" });
  REQUIRE(fleet.AwaitReady());
  const auto before = fleet.Store().CountRows("streams");
  for (auto i = 0; i < 10; ++i) {
    CHECK(fleet.Begin(0).IsWhole());
  }
  CHECK(before == 0);
  CHECK(fleet.Store().CountRows("streams") == 0);
}

} // namespace testing
