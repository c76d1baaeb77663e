#include "StreamWorld.h"

#include <doctest/doctest.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("no host takes a stream for one of another version, and none is "
          "refused while the store replies")
{
  constexpr auto kWorlds = 12U;
  constexpr auto kSteps = 60;
  std::size_t found = 0;
  for (auto seed = 1U; seed <= kWorlds; ++seed) {
    CAPTURE(seed);
    StreamWorld world(seed);
    auto& store = world.Store();
    store.losesReplies_ = seed % 3 == 0;
    std::vector<StreamWorld::Stream> streams;
    auto next = 1;
    std::vector<std::string> versions{ "v1" };
    for (auto step = 0; step < kSteps; ++step) {
      CAPTURE(step);
      switch (store.Draw(8)) {
        case 0:
          versions.push_back("v" + std::to_string(++next));
          world.SetVersions(versions);
          break;
        case 1:
          if (versions.size() > 1) {
            versions.erase(versions.begin());
            world.SetVersions(versions);
          }
          break;
        case 2:
          world.ReplaceHost(store.Draw(3));
          break;
        case 3:
          if (store.Draw(4) == 0) {
            world.ReplaceAll();
          }
          break;
        default:
          if (auto stream = world.Begin()) {
            streams.push_back(*stream);
          }
      }
      if (streams.empty()) {
        continue;
      }
      const auto& stream =
        streams[store.Draw(static_cast<unsigned>(streams.size()))];
      const auto origin = world.FindOrigin(stream);
      CAPTURE(origin.source_);
      if (origin.version_) {
        ++found;
        CHECK(*origin.version_ == stream.version_);
      } else {
        CHECK(store.losesReplies_);
      }
    }
  }
  CHECK(found > kWorlds * kSteps / 2);
}

TEST_CASE("streams of the only version make no calls")
{
  StreamWorld world(1);
  world.Run(std::chrono::milliseconds{ 100 });
  const auto before = world.Store().calls_;
  for (auto i = 0; i < 50; ++i) {
    CHECK(world.Begin());
  }
  CHECK(world.Store().calls_ == before);
}

TEST_CASE("while the store is away, no host but the one that began a stream "
          "takes the version that it knows for the stream's")
{
  StreamWorld world(2);
  world.Run(std::chrono::milliseconds{ 100 });
  const auto stream = world.Begin();
  REQUIRE(stream);
  const auto check = [&] {
    for (std::size_t host = 0; host < StreamWorld::kHosts; ++host) {
      CAPTURE(host);
      const auto version = world.FindOriginAt(host, *stream).version_;
      CHECK(version == (host == stream->host_ ? std::optional(stream->version_)
                                              : std::nullopt));
      CHECK_FALSE(world
                    .FindOriginAt(host, { .id_ = { .service_ = kService,
                                                   .workspace_ = "w",
                                                   .attempt_ = "other" } })
                    .version_);
    }
  };
  world.Store().away_ = true;
  check();
  world.SetVersions({ "v1", "v2" });
  check();
  world.Store().away_ = false;
  for (std::size_t host = 0; host < StreamWorld::kHosts; ++host) {
    CHECK(world.FindOriginAt(host, *stream).version_ == stream->version_);
  }
}

TEST_CASE("the name of an attempt is of no use in another workspace")
{
  const StreamId id{ .service_ = "s", .workspace_ = "w", .attempt_ = "a" };
  for (const auto& other :
       { StreamId{ .service_ = "s", .workspace_ = "x", .attempt_ = "a" },
         StreamId{ .service_ = "s", .workspace_ = "w1:", .attempt_ = "a" },
         StreamId{ .service_ = "sw", .workspace_ = "", .attempt_ = "a" },
         StreamId{ .service_ = "s", .workspace_ = "", .attempt_ = "wa" } }) {
    CHECK(other.Key() != id.Key());
  }
}

} // namespace testing
