#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

/** The first host is the batch coordinator of "ranker" while it is alive. */
constexpr std::size_t kCoordinator = 0;
constexpr std::size_t kOrderingHost = 1;

auto PiecesRun(EntryFleet& aFleet, const std::string& aService) -> std::size_t
{
  std::size_t pieces = 0;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    pieces += engine->PiecesRun();
  }
  return pieces;
}

/** \brief Sends streaming requests to one host, one after the other on each of
 * several threads, until End() or the destructor stops it. */
class Streams
{
public:
  explicit Streams(EntryFleet& aFleet)
  {
    constexpr auto kThreads = 2;
    for (auto i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, &aFleet] {
        while (!stopped_) {
          const auto response = SendCall(aFleet.CallerAddress(kOrderingHost),
                                         aFleet.MakeCall("/stream/x"));
          ++(response.status_ == 200 && response.whole_ ? whole_ : broken_);
        }
      });
    }
  }
  ~Streams() { End(); }
  Streams(const Streams&) = delete;
  auto operator=(const Streams&) -> Streams& = delete;

  auto End() -> void
  {
    stopped_ = true;
    for (auto& thread : std::exchange(threads_, {})) {
      thread.join();
    }
  }
  [[nodiscard]] auto Whole() const -> std::size_t { return whole_; }
  [[nodiscard]] auto Broken() const -> std::size_t { return broken_; }

private:
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> whole_ = 0;
  std::atomic<std::size_t> broken_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE(
  "pieces in a call are not produced again when their coordinator changes")
{
  constexpr std::size_t kPiecesOfAStream = 3;
  constexpr std::size_t kStreams = 12;
  EntryFleet fleet(2);
  CAPTURE(fleet.Log(kCoordinator));
  CAPTURE(fleet.Log(kOrderingHost));
  REQUIRE(fleet.AwaitReady(kCoordinator));
  REQUIRE(fleet.AwaitReady(kOrderingHost));
  REQUIRE(fleet.AwaitDiscovery());
  // Calls take most of a stream's time, so that some are in flight at the
  // change.
  for (const auto& engine : fleet.Platform().Engines("ranker")) {
    engine->callMs_ = 300;
  }
  // A host chooses a service's coordinator with its first order for it.
  REQUIRE(fleet.Get(kOrderingHost, "/stream/x").whole_);
  const auto awaitChanges = [&](int aCount) {
    return EntryFleet::Await([&] {
      return CountOf(fleet.Log(kOrderingHost), R"("service":"ranker")") >=
             aCount;
    });
  };
  auto starts = false;
  SUBCASE("the coordinator stops") {}
  SUBCASE("a coordinator starts")
  {
    starts = true;
    fleet.ProcessOf(kCoordinator).Kill();
    REQUIRE(awaitChanges(1));
  }
  const auto before = PiecesRun(fleet, "ranker");
  Streams streams(fleet);
  REQUIRE(EntryFleet::Await([&] { return streams.Whole() >= kStreams; }));
  if (starts) {
    fleet.Start(kCoordinator);
    CHECK(awaitChanges(2));
  } else {
    fleet.ProcessOf(kCoordinator).Signal(SIGTERM);
    CHECK(awaitChanges(1));
  }
  const auto soFar = streams.Whole();
  CHECK(EntryFleet::Await([&] { return streams.Whole() >= soFar + kStreams; }));
  streams.End();
  CHECK(streams.Broken() == 0);
  CHECK(PiecesRun(fleet, "ranker") - before ==
        kPiecesOfAStream * streams.Whole());
}

} // namespace testing
