#include "VersionedFleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

namespace testing {

namespace {

using EndpointState = standins::StoreStandin::EndpointState;
using Stream = VersionedFleet::Stream;
using std::chrono::milliseconds;

constexpr std::size_t kStreams = 6;
/** Host that is out of step. */
constexpr std::size_t kBehind = 0;
constexpr std::size_t kOther = 1;

/** Two hosts, each with a door of the store, and engines of one version. */
class ReleaseFleet
{
public:
  ReleaseFleet()
    : fleet_(2, { "1", "1", "1", "1" }, { .extraStoreEndpoints_ = 2 })
  {
  }

  auto Fleet() -> VersionedFleet& { return fleet_; }
  auto Behind() -> Process& { return fleet_.Entries().ProcessOf(kBehind); }
  auto SetDoor(EndpointState aState) -> void
  {
    fleet_.Store().SetEndpointState(kBehind, aState);
  }
  /** \brief Starts the host that will be behind alone, so that no other host
   * knows it. */
  auto StartBehind() -> void
  {
    fleet_.KillAll();
    for (const auto* host : { "h0", "h1" }) {
      fleet_.Store().Remove("hosts", host);
    }
    fleet_.Entries().Start(kBehind);
    REQUIRE(fleet_.Entries().AwaitReady(kBehind));
    REQUIRE(fleet_.Begin(kBehind).IsWhole());
  }
  /** \brief Starts the other host, which cannot discover the first one. */
  auto StartOther() -> void
  {
    fleet_.Store().Remove("hosts", "h0");
    fleet_.Entries().Start(kOther);
    REQUIRE(fleet_.Entries().AwaitReady(kOther));
  }
  /** \brief Engines of another version join, and streams begin at them through
   * the other host. */
  auto Release() -> std::vector<Stream>
  {
    fleet_.SetVersions({ "1", "1", "2", "2" });
    std::vector<Stream> streams;
    for (auto tries = 0; tries < 10 && streams.size() < kStreams; ++tries) {
      for (auto& stream : fleet_.BeginBroken(kOther, kStreams)) {
        if (stream.Version() == "2") {
          streams.push_back(std::move(stream));
        }
      }
    }
    REQUIRE(streams.size() >= kStreams);
    return streams;
  }
  /** \brief Takes all streams up at once at the host that is behind, and calls
   * aMeanwhile while the requests are in its sockets. */
  template<typename Meanwhile>
  auto TakeUpDuring(std::vector<Stream>& aStreams, Meanwhile aMeanwhile) -> void
  {
    std::vector<std::future<void>> calls;
    calls.reserve(aStreams.size());
    for (auto& stream : aStreams) {
      calls.push_back(std::async(std::launch::async, [this, &stream] {
        fleet_.TakeUp(kBehind, stream);
      }));
    }
    aMeanwhile();
    for (const auto& call : calls) {
      call.wait();
    }
  }
  /** \brief Takes streams up while the host that is behind is stopped, and
   * continues it with the requests in its sockets. */
  auto TakeUpAcrossPause(std::vector<Stream>& aStreams) -> void
  {
    TakeUpDuring(aStreams, [this] {
      std::this_thread::sleep_for(milliseconds{ 300 });
      Behind().Signal(SIGCONT);
    });
  }

private:
  VersionedFleet fleet_;
};

auto CheckNotJoined(const std::vector<Stream>& aStreams) -> void
{
  for (const auto& stream : aStreams) {
    CAPTURE(stream.body_);
    CAPTURE(stream.last_.status_);
    CHECK(stream.HasOneVersion());
  }
}

/** Checks that all were refused without running. */
auto CheckRefused(const std::vector<Stream>& aStreams) -> void
{
  CheckNotJoined(aStreams);
  for (const auto& stream : aStreams) {
    CAPTURE(stream.last_.body_);
    CHECK(stream.last_.status_ == 503);
    CHECK(stream.last_.body_.find("stream_version_unknown") !=
          std::string::npos);
  }
}

/** Checks that the streams go on at the host that was behind, once it knows the
 * engines of their version again. */
auto CheckGoOn(VersionedFleet& aFleet, std::vector<Stream>& aStreams) -> void
{
  for (auto& stream : aStreams) {
    CHECK(EntryFleet::Await([&] {
      return stream.IsWhole() || aFleet.TakeUp(kBehind, stream).status_ != 503;
    }));
    CAPTURE(stream.last_.status_);
    CAPTURE(stream.last_.body_);
    CHECK(stream.IsWhole());
  }
  CheckNotJoined(aStreams);
}

auto TakeUpAll(VersionedFleet& aFleet, std::vector<Stream>& aStreams) -> void
{
  for (auto& stream : aStreams) {
    aFleet.TakeUp(kBehind, stream);
  }
}

} // namespace

TEST_CASE("a host that is cut off from the store and all hosts joins no stream "
          "of a version that it has not heard of")
{
  for (const auto door : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(door));
    ReleaseFleet release;
    release.StartBehind();
    release.SetDoor(door);
    release.StartOther();
    auto streams = release.Release();
    const auto received = release.Fleet().Received();
    TakeUpAll(release.Fleet(), streams);
    CheckRefused(streams);
    CHECK(release.Fleet().Received() == received);
    release.SetDoor(EndpointState::Open);
    CheckGoOn(release.Fleet(), streams);
  }
}

TEST_CASE("a host that is cut off from the store only joins no stream of a "
          "version that has just appeared")
{
  for (const auto door : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(door));
    ReleaseFleet release;
    REQUIRE(release.Fleet().AwaitReady());
    REQUIRE(release.Fleet().Entries().AwaitDiscovery());
    release.SetDoor(door);
    auto streams = release.Release();
    TakeUpAll(release.Fleet(), streams);
    CheckRefused(streams);
  }
}

TEST_CASE("a host that was stopped while a version appeared resumes streams of "
          "it at that version")
{
  for (const auto pause : { milliseconds{ 0 }, milliseconds{ 2000 } }) {
    CAPTURE(pause.count());
    ReleaseFleet release;
    REQUIRE(release.Fleet().AwaitReady());
    REQUIRE(release.Fleet().Entries().AwaitDiscovery());
    release.Behind().Signal(SIGSTOP);
    auto streams = release.Release();
    std::this_thread::sleep_for(pause);
    release.TakeUpAcrossPause(streams);
    // The version is read in time, but the host may not know its engines yet.
    CheckNotJoined(streams);
    CheckGoOn(release.Fleet(), streams);
  }
}

TEST_CASE("a host that was stopped while a version appeared joins no stream of "
          "it while the store does not reply")
{
  for (const auto door : { EndpointState::Silent, EndpointState::Busy }) {
    CAPTURE(static_cast<int>(door));
    ReleaseFleet release;
    release.StartBehind();
    release.Behind().Signal(SIGSTOP);
    release.SetDoor(door);
    release.StartOther();
    auto streams = release.Release();
    release.TakeUpAcrossPause(streams);
    CheckRefused(streams);
  }
}

TEST_CASE("a host that is stopped while it reads the versions for a take-up "
          "joins no stream of two versions")
{
  ReleaseFleet release;
  release.StartBehind();
  release.SetDoor(EndpointState::Silent);
  release.StartOther();
  auto streams = release.Release();
  release.TakeUpDuring(streams, [&] {
    // Less than the time-out of the read.
    std::this_thread::sleep_for(milliseconds{ 100 });
    release.Behind().Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{ 1000 });
    release.Behind().Signal(SIGCONT);
  });
  CheckRefused(streams);
}

} // namespace testing
