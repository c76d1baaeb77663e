#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

/** Hosts of whom the first collects pieces of "ranker" while it lives. */
constexpr std::size_t kCollector = 0;
constexpr std::size_t kAsking = 1;

auto PiecesRun(EntryFleet& aFleet, const std::string& aService) -> std::size_t
{
  std::size_t pieces = 0;
  for (const auto& engine : aFleet.Platform().Engines(aService)) {
    pieces += engine->PiecesRun();
  }
  return pieces;
}

/** \brief Streams at one host, one after the other on each of some threads,
 * until it is gone. */
class Streams
{
public:
  explicit Streams(EntryFleet& aFleet)
  {
    constexpr auto kThreads = 2;
    for (auto i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, &aFleet] {
        while (!over_) {
          const auto answer = SendCall(aFleet.CallerAddress(kAsking),
                                       aFleet.MakeCall("/stream/x"));
          ++(answer.status_ == 200 && answer.whole_ ? whole_ : broken_);
        }
      });
    }
  }
  ~Streams() { End(); }
  Streams(const Streams&) = delete;
  auto operator=(const Streams&) -> Streams& = delete;

  auto End() -> void
  {
    over_ = true;
    for (auto& thread : std::exchange(threads_, {})) {
      thread.join();
    }
  }
  [[nodiscard]] auto Whole() const -> std::size_t { return whole_; }
  [[nodiscard]] auto Broken() const -> std::size_t { return broken_; }

private:
  std::atomic<bool> over_ = false;
  std::atomic<std::size_t> whole_ = 0;
  std::atomic<std::size_t> broken_ = 0;
  std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE("pieces in a call are not made again when their collector changes")
{
  constexpr std::size_t kPiecesOfAStream = 3;
  constexpr std::size_t kStreams = 12;
  EntryFleet fleet(2);
  CAPTURE(fleet.Log(kCollector));
  CAPTURE(fleet.Log(kAsking));
  REQUIRE(fleet.AwaitReady(kCollector));
  REQUIRE(fleet.AwaitReady(kAsking));
  REQUIRE(fleet.AwaitAcquainted());
  // Most of a stream's time, so that calls are under way at the change.
  for (const auto& engine : fleet.Platform().Engines("ranker")) {
    engine->callMs_ = 300;
  }
  // The host knows a collector only once it has asked for one.
  REQUIRE(fleet.Get(kAsking, "/stream/x").whole_);
  const auto awaitChanges = [&](int aCount) {
    return EntryFleet::Await([&] {
      return CountOf(fleet.Log(kAsking), R"("service":"ranker")") >= aCount;
    });
  };
  auto starts = false;
  SUBCASE("it stops") {}
  SUBCASE("it starts")
  {
    starts = true;
    fleet.ProcessOf(kCollector).Kill();
    REQUIRE(awaitChanges(1));
  }
  const auto before = PiecesRun(fleet, "ranker");
  Streams streams(fleet);
  REQUIRE(EntryFleet::Await([&] { return streams.Whole() >= kStreams; }));
  if (starts) {
    fleet.Start(kCollector);
    CHECK(awaitChanges(2));
  } else {
    fleet.ProcessOf(kCollector).Signal(SIGTERM);
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
