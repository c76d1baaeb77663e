#include "PoisonedFleet.h"

namespace testing {

namespace {

using std::chrono::milliseconds;
using EndpointState = standins::StoreStandin::EndpointState;

constexpr std::size_t kHosts = 3;
/** `config_ms` and `drain_ms` for fleets of this kind. */
constexpr auto kBound = milliseconds{ 3000 };
/** Time between what the store's copy has and what it lacks. */
constexpr auto kGap = milliseconds{ 1000 };
/** How long the store is away while it is restored. */
constexpr auto kAway = milliseconds{ 300 };

/** \brief Entry hosts before a store that is restored from an older copy. */
class RestoredFleet
{
public:
  RestoredFleet()
    : fleet_(kHosts, { .extraStoreEndpoints_ = kHosts })
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      REQUIRE(fleet_.AwaitReady(i));
    }
    REQUIRE(fleet_.AwaitDiscovery());
  }

  auto Fleet() -> EntryFleet& { return fleet_; }
  auto Store() -> standins::StoreStandin& { return fleet_.Platform().Store(); }
  auto Engines() -> std::vector<std::unique_ptr<standins::EngineStandin>>&
  {
    return fleet_.Platform().Engines("desk");
  }
  /** \brief What the store is told from now on is lost by Restore(). */
  auto MakeCopy() -> void
  {
    copiedAt_ = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kGap);
  }
  auto Restore() -> void
  {
    Store().busy_ = true;
    std::this_thread::sleep_for(kAway);
    const auto age = std::chrono::steady_clock::now() - copiedAt_;
    Store().Restore(std::chrono::duration_cast<milliseconds>(age - kGap / 2));
    Store().busy_ = false;
  }
  /** \brief Has the store assign many versions. */
  auto RaiseVersions() -> void
  {
    constexpr auto kWrites = 200;
    for (auto i = 0; i < kWrites; ++i) {
      Store().Put("other", "row", std::to_string(i));
    }
  }
  auto StatusWith(std::size_t aHost, const std::string& aKey) -> int
  {
    return fleet_
      .Call(aHost,
            { .target_ = "/safe/x", .headers_ = { { "X-Api-Key", aKey } } })
      .status_;
  }
  /** \brief Checks at each host that only the given key is accepted. */
  auto CheckKeys(const std::string& aAccepted, const std::string& aRevoked)
    -> void
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      CAPTURE(host);
      CAPTURE(fleet_.Log(host));
      CHECK(StatusWith(host, aAccepted) == 200);
      CHECK(StatusWith(host, aRevoked) == 401);
    }
  }
  auto SendToEach(int aRequests) -> void
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (auto i = 0; i < aRequests; ++i) {
        CHECK(fleet_.Get(host, "/safe/x").status_ == 200);
      }
    }
  }

private:
  EntryFleet fleet_;
  std::chrono::steady_clock::time_point copiedAt_;
};

constexpr auto kRequests = 8;

} // namespace

TEST_CASE("a configuration written after the store was restored is in force in "
          "time, although its version is lower than those known")
{
  RestoredFleet restored;
  auto unserved = kHosts;
  SUBCASE("at hosts that the store serves") {}
  SUBCASE("at a host that the store does not serve from then on")
  {
    unserved = 1;
  }
  restored.MakeCopy();
  restored.RaiseVersions();
  restored.Fleet().Platform().PutConfig(2, "", { "key2" });
  std::this_thread::sleep_for(kBound);
  if (unserved < kHosts) {
    restored.Store().SetEndpointState(unserved, EndpointState::TooMany);
  }
  restored.Restore();
  restored.Fleet().Platform().PutConfig(3, "", { "key3" });
  std::this_thread::sleep_for(kBound);
  restored.CheckKeys("key3", "key2");
}

TEST_CASE("a key stays revoked when the store returns to a copy in which it is "
          "valid")
{
  RestoredFleet restored;
  restored.MakeCopy();
  restored.Fleet().Platform().PutConfig(2, "", { "key2" });
  std::this_thread::sleep_for(kBound);
  restored.Restore();
  SUBCASE("at all hosts")
  {
    restored.CheckKeys("key2", "key1");
    std::this_thread::sleep_for(kBound);
  }
  SUBCASE("at a host that starts then, too")
  {
    restored.Fleet().ProcessOf(0).Kill();
    restored.Fleet().Start(0);
    REQUIRE(restored.Fleet().AwaitReady(0));
    std::this_thread::sleep_for(kBound);
  }
  SUBCASE("also once the operator has written it again")
  {
    std::this_thread::sleep_for(kBound);
    restored.Store().RewriteLost();
    std::this_thread::sleep_for(kBound);
  }
  restored.CheckKeys("key2", "key1");
}

TEST_CASE("an engine that drains gets no requests although the store returns "
          "to a copy in which it does not")
{
  RestoredFleet restored;
  auto& leaving = *restored.Engines()[0];
  restored.MakeCopy();
  restored.Store().Put("servers", leaving.Id(),
                       leaving.Entry("desk", "draining"));
  std::this_thread::sleep_for(kBound);
  restored.Restore();
  std::this_thread::sleep_for(kBound);
  const auto before = leaving.ReceivedCount();
  restored.SendToEach(kRequests);
  CHECK(leaving.ReceivedCount() == before);
}

TEST_CASE("an engine that drains after the store was restored gets no requests "
          "although its versions are lower than those known")
{
  RestoredFleet restored;
  auto& leaving = *restored.Engines()[0];
  restored.MakeCopy();
  restored.RaiseVersions();
  restored.Store().Put("servers", restored.Engines()[1]->Id(),
                       restored.Engines()[1]->Entry("desk", "ready"));
  std::this_thread::sleep_for(kBound);
  restored.Restore();
  std::this_thread::sleep_for(kGap);
  restored.Store().Put("servers", leaving.Id(),
                       leaving.Entry("desk", "draining"));
  std::this_thread::sleep_for(kBound);
  const auto before = leaving.ReceivedCount();
  restored.SendToEach(kRequests);
  CHECK(leaving.ReceivedCount() == before);
}

TEST_CASE("an engine that has registered since the copy stays in use until it "
          "registers again")
{
  RestoredFleet restored;
  auto& engine = *restored.Engines()[0];
  restored.Store().Remove("servers", engine.Id());
  std::this_thread::sleep_for(kGap);
  restored.MakeCopy();
  restored.Store().Put("servers", engine.Id(), engine.Entry("desk", "ready"));
  std::this_thread::sleep_for(kBound);
  restored.Restore();
  std::this_thread::sleep_for(kGap);
  const auto before = engine.ReceivedCount();
  restored.SendToEach(kRequests);
  CHECK(engine.ReceivedCount() > before);
  restored.Store().RewriteLost();
  std::this_thread::sleep_for(kBound);
  const auto later = engine.ReceivedCount();
  restored.SendToEach(kRequests);
  CHECK(engine.ReceivedCount() > later);
}

TEST_CASE("an endpoint of the store that is restored later than the others "
          "does not undo a change")
{
  RestoredFleet restored;
  restored.MakeCopy();
  restored.RaiseVersions();
  std::this_thread::sleep_for(kBound);
  restored.Store().SetNotRestored(0, true);
  restored.Restore();
  restored.Fleet().Platform().PutConfig(2, "", { "key2" });
  std::this_thread::sleep_for(kBound);
  restored.CheckKeys("key2", "key1");
  restored.Store().SetNotRestored(0, false);
  std::this_thread::sleep_for(kBound);
  restored.CheckKeys("key2", "key1");
}

TEST_CASE("hosts follow a store that is restored twice in a row")
{
  RestoredFleet restored;
  restored.MakeCopy();
  restored.RaiseVersions();
  restored.Fleet().Platform().PutConfig(2, "", { "key2" });
  std::this_thread::sleep_for(kBound);
  restored.Restore();
  restored.Restore();
  restored.Fleet().Platform().PutConfig(3, "", { "key3" });
  std::this_thread::sleep_for(kBound);
  restored.CheckKeys("key3", "key2");
}

TEST_CASE("a verdict and the hosts' rows that the restored store lacks are "
          "written again")
{
  constexpr std::size_t kCrashesToQuarantine = 4;
  PoisonedFleet fleet(kHosts);
  auto& store = fleet.Fleet().Platform().Store();
  const auto copiedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kGap);
  fleet.CrashEngines(kCrashesToQuarantine, [&] { fleet.Send(0); });
  REQUIRE(EntryFleet::Await([&] { return store.CountRows("held") == 1; }));
  store.Remove("hosts", "h0");
  const auto age = std::chrono::steady_clock::now() - copiedAt;
  store.Restore(std::chrono::duration_cast<milliseconds>(age - kGap / 2));
  REQUIRE(store.CountRows("held") == 0);
  store.Remove("hosts", "h0");
  CHECK(EntryFleet::Await([&] { return store.CountRows("held") == 1; }));
  CHECK(EntryFleet::Await([&] { return store.Has("hosts", "h0"); }));
}

} // namespace testing
