#include "VersionStore.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/EventLoop.h>
#include <goldcrestcroft/src/Gateway/StreamVersions.h>

#include <memory>

namespace testing {

namespace {

using namespace goldcrestcroft;

const std::string kService = "model";

/** Hosts that begin streams and take up those of others, while versions come
 * and go and hosts are replaced. */
class StreamWorld
{
public:
  struct Stream
  {
    StreamId id_;
    std::string version_;
    /** The host that began it, until hosts are replaced. */
    std::size_t host_ = 0;
  };

  explicit StreamWorld(unsigned aSeed)
    : store_(context_, aSeed)
  {
    for (auto i = 0U; i < kHosts; ++i) {
      StartHost();
    }
  }
  ~StreamWorld() { context_.DestroyHandlers(); }
  StreamWorld(const StreamWorld&) = delete;
  auto operator=(const StreamWorld&) -> StreamWorld& = delete;

  auto Store() -> VersionStore& { return store_; }
  auto Host(std::size_t aHost) -> StreamVersions& { return *hosts_[aHost]; }
  auto Run(std::chrono::microseconds aTime) -> void
  {
    context_.restart();
    context_.run_for(aTime);
  }
  auto SetVersions(const std::vector<std::string>& aVersions) -> void
  {
    versions_ = aVersions;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      // Hosts learn of a change at different times.
      Run(std::chrono::microseconds{ store_.Draw(2000) });
      ShowEngines(host);
    }
  }
  /** \brief A host is killed, and another one starts. */
  auto ReplaceHost(std::size_t aHost) -> void
  {
    gone_.push_back(std::move(hosts_[aHost]));
    hosts_.erase(hosts_.begin() + static_cast<std::ptrdiff_t>(aHost));
    StartHost();
  }
  auto ReplaceAll() -> void
  {
    for (auto i = 0U; i < kHosts; ++i) {
      ReplaceHost(0);
    }
  }
  /** \brief Begins a stream at a random host and engine; none if the store does
   * not confirm its version. */
  auto Begin() -> std::optional<Stream>
  {
    const std::size_t number = store_.Draw(kHosts);
    auto& host = *hosts_[number];
    const auto version =
      versions_[store_.Draw(static_cast<unsigned>(versions_.size()))];
    const StreamId id{ .service_ = kService,
                       .workspace_ = "w",
                       .attempt_ = std::to_string(++streams_) };
    host.Prepare(id, version, std::chrono::seconds{ 5 }, [] {});
    for (auto i = 0; i < 40 && !host.IsKnownToAll(id, version); ++i) {
      Run(std::chrono::milliseconds{ 5 });
    }
    if (!host.IsKnownToAll(id, version)) {
      return std::nullopt;
    }
    host.OnBegun(id, version, std::chrono::seconds{ 5 });
    return Stream{ .id_ = id, .version_ = version, .host_ = number };
  }
  auto FindOrigin(const Stream& aStream) -> StreamOrigin
  {
    return FindOriginAt(store_.Draw(kHosts), aStream);
  }
  auto FindOriginAt(std::size_t aHost, const Stream& aStream) -> StreamOrigin
  {
    auto& host = *hosts_[aHost];
    std::optional<StreamOrigin> origin;
    asio::co_spawn(
      context_,
      [&]() -> Task<void> { origin = co_await host.FindOrigin(aStream.id_); },
      asio::detached);
    while (!origin) {
      Run(std::chrono::milliseconds{ 1 });
    }
    return *origin;
  }

  static constexpr unsigned kHosts = 3;

private:
  auto StartHost() -> void
  {
    const auto number = ++started_;
    hosts_.push_back(std::make_unique<StreamVersions>(
      context_,
      StreamVersions::Options{ .host_ = "h" + std::to_string(number),
                               .hosts_ = [] { return kHosts; },
                               .removes_ = [] { return false; } },
      store_, metrics_));
    ShowEngines(hosts_.size() - 1);
  }
  auto ShowEngines(std::size_t aHost) -> void
  {
    std::vector<EngineEntry> entries;
    for (const auto& version : versions_) {
      entries.push_back({ .id_ = "e" + version,
                          .service_ = kService,
                          .zone_ = "z",
                          .version_ = version });
    }
    hosts_[aHost]->OnEngines(EngineList(entries), { kService });
  }

  EventLoop context_;
  GatewayMetrics metrics_;
  VersionStore store_;
  std::vector<std::string> versions_{ "v1" };
  std::vector<std::unique_ptr<StreamVersions>> hosts_;
  /** Their calls end later. */
  std::vector<std::unique_ptr<StreamVersions>> gone_;
  unsigned started_ = 0;
  unsigned streams_ = 0;
};

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

TEST_CASE("a stream begins at another version only if no late write can name "
          "the first one")
{
  StreamWorld world(3);
  world.SetVersions({ "v1", "v2" });
  world.Run(std::chrono::milliseconds{ 100 });
  auto& host = world.Host(0);
  const auto prepare = [&](const std::string& aAttempt) {
    StreamId id{ .service_ = kService,
                 .workspace_ = "w",
                 .attempt_ = aAttempt };
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
  world.SetVersions({ "v1", "v2" });
  world.Run(std::chrono::milliseconds{ 100 });
  auto& host = world.Host(0);
  const StreamId id{ .service_ = kService,
                     .workspace_ = "w",
                     .attempt_ = "changed" };
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
  world.SetVersions({ "v1", "v2", "v3" });
  world.Run(std::chrono::milliseconds{ 100 });
  auto& host = world.Host(0);
  const StreamId id{ .service_ = kService,
                     .workspace_ = "w",
                     .attempt_ = "late" };
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
  world.SetVersions({ "v1", "v2" });
  world.Run(std::chrono::milliseconds{ 100 });
  auto& host = world.Host(0);
  const StreamId id{ .service_ = kService,
                     .workspace_ = "w",
                     .attempt_ = "base" };
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
  world.SetVersions({ "v1", "v2" });
  world.Run(std::chrono::milliseconds{ 100 });
  auto& host = world.Host(0);
  const auto mayBegin = [&](std::chrono::milliseconds aTimeLeft) {
    return host.MayBecomeKnown(kService, "v2", aTimeLeft);
  };
  world.Store().away_ = true;
  const StreamId id{ .service_ = kService,
                     .workspace_ = "w",
                     .attempt_ = "first" };
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
