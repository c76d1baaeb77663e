#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

#include <random>
#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

auto Candidates(std::size_t aCount) -> std::vector<EngineAssigner::Candidate>
{
  std::vector<EngineAssigner::Candidate> candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    candidates.push_back(
      { .id_ = "e" + std::to_string(i), .zone_ = "z", .slots_ = 32 });
  }
  return candidates;
}

auto Prompt(std::uint32_t aTokens) -> PromptWork
{
  return {
    .service_ = "s", .ownTokens_ = aTokens, .outputTokens_ = 300, .zone_ = "z"
  };
}

/** \brief Engines that read one prompt after another, at their own speed. */
class ReadingEngines
{
public:
  explicit ReadingEngines(std::size_t aCount) { SetEngines(aCount); }

  auto SetEngines(std::size_t aCount) -> void
  {
    assigner_.SetCandidates(Candidates(aCount));
  }
  /** \brief Assigns the prompt now; returns how long it waits for others. */
  auto Read(const PromptWork& aWork) -> Duration
  {
    Finish(clock_.Now());
    const auto engine = assigner_.Assign(++last_, aWork, clock_.Now());
    REQUIRE(engine);
    lastEngine_ = *engine;
    auto& until = until_[*engine];
    const auto wait = std::max<Duration>(until - clock_.Now(), {});
    until = clock_.Now() + wait + TimeOf(aWork.ownTokens_, *engine);
    reading_.emplace(until, last_);
    return wait;
  }
  auto Advance(Duration aTime) -> void { clock_.Advance(aTime); }

  std::map<std::string, double> slowness_;
  std::string lastEngine_;

private:
  auto TimeOf(double aTokens, const std::string& aEngine) -> Duration
  {
    const auto slowness =
      slowness_.contains(aEngine) ? slowness_[aEngine] : 1.0;
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(0.04 + aTokens * slowness / 50'000.0));
  }
  auto Finish(TimePoint aNow) -> void
  {
    while (!reading_.empty() && reading_.begin()->first <= aNow) {
      assigner_.OnRead(reading_.begin()->second, reading_.begin()->first);
      reading_.erase(reading_.begin());
    }
  }

  EngineAssigner assigner_;
  VirtualClock clock_;
  std::uint64_t last_ = 0;
  std::map<std::string, TimePoint> until_;
  std::multimap<TimePoint, std::uint64_t> reading_;
};

} // namespace

TEST_CASE("short prompts do not wait behind long ones while engines are free")
{
  // A fifth of the prompts is 40 times as long as the others, 60 a second at 30
  // engines that can read 100 of this mix.
  ReadingEngines engines(30);
  std::mt19937 random(7);
  auto waited = 0;
  constexpr auto kShort = 600U;
  constexpr auto kLong = 24'000U;
  for (auto i = 0; i < 3000; ++i) {
    const auto isLong = random() % 5 == 0;
    const auto wait = engines.Read(Prompt(isLong ? kLong : kShort));
    waited += !isLong && wait > milliseconds{ 20 } ? 1 : 0;
    engines.Advance(std::chrono::microseconds{
      static_cast<std::int64_t>(random() % 33'000) });
  }
  CHECK(waited <= 24);
}

TEST_CASE("prompts with a shared part stay at the engine that has cached it, "
          "unless that is busy")
{
  ReadingEngines engines(20);
  auto work = Prompt(500);
  work.sharedParts_ = { { .fingerprint_ = 7, .tokens_ = 5'000 } };
  work.home_ = "e4";
  std::set<std::string> used;
  for (auto i = 0; i < 50; ++i) {
    engines.Read(work);
    used.insert(engines.lastEngine_);
    engines.Advance(milliseconds{ 200 });
  }
  CHECK(used == std::set<std::string>{ "e4" });
  // At one tenth of the distance the home is busy, and others read the part.
  for (auto i = 0; i < 200; ++i) {
    engines.Read(work);
    used.insert(engines.lastEngine_);
    engines.Advance(milliseconds{ 10 });
  }
  CHECK(used.size() > 1);
}

TEST_CASE("an engine that reads slowly gets less work, and is used again once "
          "it is as fast as the others")
{
  ReadingEngines engines(10);
  const auto play = [&] {
    std::map<std::string, int> counts;
    for (auto i = 0; i < 600; ++i) {
      engines.Read(Prompt(4'000));
      ++counts[engines.lastEngine_];
      engines.Advance(milliseconds{ 60 });
    }
    return counts["e3"];
  };
  engines.slowness_["e3"] = 6.0;
  CHECK(play() < 30);
  engines.slowness_["e3"] = 1.0;
  CHECK(play() > 0);
}

TEST_CASE("an engine that left, or has no free slot, gets nothing")
{
  EngineAssigner assigner;
  VirtualClock clock;
  CHECK_FALSE(assigner.Assign(1, Prompt(100), clock.Now()));
  auto candidates = Candidates(2);
  candidates[0].slots_ = 1;
  candidates[1].slots_ = 1;
  assigner.SetCandidates(candidates);
  std::set<std::string> used;
  for (auto id = 1U; id <= 2U; ++id) {
    used.insert(assigner.Assign(id, Prompt(100), clock.Now()).value_or(""));
  }
  CHECK(used == std::set<std::string>{ "e0", "e1" });
  CHECK_FALSE(assigner.Assign(3, Prompt(100), clock.Now()));
  clock.Advance(seconds{ 30 });
  assigner.SetCandidates(Candidates(1));
  CHECK(assigner.Assign(4, Prompt(100), clock.Now()) == "e0");
}

TEST_CASE("each engine and each shared part belongs to one shard, and a shard "
          "holds no more engines than one host can compare")
{
  const AssignmentShards small("s", 90);
  CHECK(small.OfEngine("a") == small.OfPart("b"));
  std::map<std::string, std::size_t> sizes;
  const AssignmentShards large("s", 10'000);
  for (auto i = 0; i < 10'000; ++i) {
    ++sizes[large.OfEngine("engine-" + std::to_string(i))];
  }
  CHECK(sizes.size() > 50);
  for (const auto& [name, size] : sizes) {
    CHECK(size < 300);
  }
}

} // namespace testing
