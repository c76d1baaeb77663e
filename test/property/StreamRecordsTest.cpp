#include "StreamWorld.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;

namespace {

auto IdOf(const std::string& aAttempt) -> StreamId
{
  return { .service_ = kService, .workspace_ = "w", .attempt_ = aAttempt };
}

/** Has all hosts know the versions and the store list them. */
auto ShowVersions(StreamWorld& aWorld,
                  const std::vector<std::string>& aVersions) -> void
{
  aWorld.SetVersions(aVersions);
  aWorld.Run(std::chrono::milliseconds{ 100 });
}

/** Whether the row is withdrawn between two attempts to write it. */
auto EventuallyWithdraws(StreamWorld& aWorld, const StreamId& aId) -> bool
{
  for (auto i = 0; i < 40; ++i) {
    if (aWorld.Host(0).Withdraw(aId)) {
      return true;
    }
    aWorld.Run(std::chrono::milliseconds{ 1 });
  }
  return false;
}

} // namespace

TEST_CASE("a stream begins at another version only if no late write can name "
          "the first one")
{
  StreamWorld world(3);
  ShowVersions(world, { "v1", "v2" });
  auto& host = world.Host(0);
  const auto prepare = [&](const std::string& aAttempt) {
    auto id = IdOf(aAttempt);
    host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
    world.Run(std::chrono::milliseconds{ 20 });
    return id;
  };
  world.Store().away_ = true;
  const auto refused = prepare("refused");
  CHECK_FALSE(host.IsKnownToAll(refused, "v2"));
  CHECK_FALSE(host.OnlyVersion(refused));
  CHECK(EventuallyWithdraws(world, refused));
  CHECK_FALSE(host.HasRecord(refused));
  CHECK(host.IsKnownToAll(refused, "v1"));
  world.Store().away_ = false;
  world.Run(std::chrono::seconds{ 1 });
  world.Store().isMute_ = true;
  const auto uncertain = prepare("uncertain");
  CHECK_FALSE(host.IsKnownToAll(uncertain, "v2"));
  CHECK(host.OnlyVersion(uncertain) == "v2");
  CHECK_FALSE(host.Withdraw(uncertain));
  CHECK_FALSE(host.IsKnownToAll(uncertain, "v1"));
  world.Store().isMute_ = false;
  world.Run(std::chrono::seconds{ 1 });
  CHECK(host.IsKnownToAll(uncertain, "v2"));
}

TEST_CASE(
  "a row that was confirmed while its stream changed the version is not "
  "withdrawn")
{
  StreamWorld world(5);
  ShowVersions(world, { "v1", "v2" });
  auto& host = world.Host(0);
  const auto id = IdOf("changed");
  host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
  world.Run(std::chrono::microseconds{ 100 });
  host.Prepare(id, "v1", std::chrono::seconds{ 5 }, [] {});
  // The first call is confirmed, and the second one is not made yet.
  world.Run(std::chrono::milliseconds{ 4 });
  world.Store().away_ = true;
  for (auto i = 0; i < 100; ++i) {
    CHECK_FALSE(host.Withdraw(id));
    world.Run(std::chrono::milliseconds{ 1 });
  }
  CHECK_FALSE(host.IsKnownToAll(id, "v1"));
  world.Store().away_ = false;
  world.Run(std::chrono::seconds{ 1 });
  CHECK(host.IsKnownToAll(id, "v1"));
}

TEST_CASE(
  "a write that got no reply before its stream changed the version keeps "
  "the stream from beginning at the other one")
{
  StreamWorld world(6);
  ShowVersions(world, { "v1", "v2", "v3" });
  auto& host = world.Host(0);
  const auto id = IdOf("late");
  world.Store().isMute_ = true;
  host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
  world.Run(std::chrono::microseconds{ 100 });
  host.Prepare(id, "v3", std::chrono::seconds{ 5 }, [] {});
  world.Run(std::chrono::milliseconds{ 10 });
  world.Store().isMute_ = false;
  world.Run(std::chrono::seconds{ 1 });
  // The store may apply the first write after all others.
  CHECK_FALSE(host.IsKnownToAll(id, "v3"));
  CHECK(host.OnlyVersion(id) == "v2");
  host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
  world.Run(std::chrono::seconds{ 1 });
  CHECK(host.IsKnownToAll(id, "v2"));
}

TEST_CASE("a stream that changes to the base version needs no row if the store "
          "has none")
{
  StreamWorld world(7);
  ShowVersions(world, { "v1", "v2" });
  auto& host = world.Host(0);
  const auto id = IdOf("base");
  world.Store().away_ = true;
  host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
  auto isKnown = false;
  for (auto i = 0; i < 40 && !isKnown; ++i) {
    world.Run(std::chrono::milliseconds{ 1 });
    host.Prepare(id, "v1", std::chrono::seconds{ 5 }, [] {});
    isKnown = host.IsKnownToAll(id, "v1");
  }
  CHECK(isKnown);
}

TEST_CASE("streams wait for a store that is away for as long again as it has "
          "been, and use it once it is back")
{
  StreamWorld world(4);
  ShowVersions(world, { "v1", "v2" });
  auto& host = world.Host(0);
  const auto mayBegin = [&](std::chrono::milliseconds aTimeLeft) {
    return host.MayBecomeKnown(kService, "v2", aTimeLeft);
  };
  world.Store().away_ = true;
  const auto id = IdOf("first");
  host.Prepare(id, "v2", std::chrono::seconds{ 5 }, [] {});
  world.Run(std::chrono::milliseconds{ 300 });
  // Nothing is left to be written.
  CHECK(EventuallyWithdraws(world, id));
  CHECK(host.CanBeKnown(kService, "v1"));
  CHECK_FALSE(host.CanBeKnown(kService, "v2"));
  CHECK(mayBegin(std::chrono::seconds{ 5 }));
  CHECK_FALSE(mayBegin(std::chrono::milliseconds{ 200 }));
  world.Store().away_ = false;
  world.Run(std::chrono::seconds{ 1 });
  CHECK(host.CanBeKnown(kService, "v2"));
}

} // namespace testing
