#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace bench {

namespace {

using namespace goldcrestcroft;

constexpr double kEngineSlots = 8.0;
constexpr double kMeanTokens = 100.0;
constexpr double kStepMilliseconds = 3.0;
constexpr double kPrefillMilliseconds = 10.0;
// Mean service time at an engine, from the constants above.
constexpr double kMeanGenerateSeconds =
  (kPrefillMilliseconds + kStepMilliseconds * kMeanTokens) / 1000.0;
// Mean offered load of each pool of dedicated engines as a fraction of its
// capacity. The offered load alternates between 0.2 and 1.8 times this value.
constexpr double kDedicatedLoad = 0.4;
// Shares of the load by workspace; a few workspaces are large.
constexpr double kWorkspaceShares[] = { 0.35, 0.30, 0.20, 0.10, 0.05 };

class WorkloadGenerator
{
public:
  WorkloadGenerator(const Scenario& aScenario, TimePoint aStart)
    : scenario_(aScenario)
    , start_(aStart)
    , random_(aScenario.seed_)
  {
  }

  auto Make() -> std::vector<OfferedRequest>
  {
    const auto capacity = scenario_.deployment_.sharedEngines_ * kEngineSlots /
                          kMeanGenerateSeconds;
    MakeShared(scenario_.load_ * capacity, false);
    if (scenario_.flood_) {
      // The flood is ten times the first workspace's even share of the
      // capacity of the shared engines.
      MakeShared(10.0 * capacity / scenario_.deployment_.workspaces_, true);
    }
    MakeDedicated();
    std::sort(requests_.begin(), requests_.end(),
              [](const OfferedRequest& aLeft, const OfferedRequest& aRight) {
                return aLeft.arrival_ < aRight.arrival_;
              });
    return std::move(requests_);
  }

private:
  auto Exponential(double aMean) -> double
  {
    return std::exponential_distribution<double>(1.0 / aMean)(random_);
  }

  auto RateFactor(double aSeconds) const -> double
  {
    if (!scenario_.bursts_) {
      return 1.0;
    }
    return static_cast<int>(aSeconds) % 2 == 0 ? 0.5 : 1.5;
  }

  auto LengthFactor(double aSeconds) const -> double
  {
    const auto length =
      std::chrono::duration<double>(scenario_.length_).count();
    const auto middle =
      aSeconds > length / 3.0 && aSeconds < 2.0 * length / 3.0;
    return scenario_.longInputs_ && middle ? 6.0 : 1.0;
  }

  auto PickWorkspace() -> int
  {
    auto at = UniformUnit(random_);
    for (auto i = 0; i < 4; ++i) {
      if (at < kWorkspaceShares[i]) {
        return i;
      }
      at -= kWorkspaceShares[i];
    }
    return 4;
  }

  auto JitteredDuration(double aMean) -> Duration
  {
    // Service times vary by up to 20 % around the mean from call to call. aMean
    // is in milliseconds.
    const auto spread = 0.8 + 0.4 * UniformUnit(random_);
    return Duration(std::llround(1000.0 * aMean * spread));
  }

  auto Stages(double aLength) -> std::vector<StageWork>
  {
    const auto length = std::max(0.2, Exponential(aLength));
    const auto candidates = 2.0 + std::floor(Exponential(6.0));
    return {
      { { "encoders" }, length, JitteredDuration(4.0 + 12.0 * length) },
      { { "retrievers" }, 1.0, JitteredDuration(16.0) },
      { { "rerankers" }, candidates, JitteredDuration(4.0 + 1.5 * candidates) },
      Generate("shared", kMeanTokens)
    };
  }

  auto Generate(const std::string& aPool, double aMeanTokens) -> StageWork
  {
    const auto tokens = std::clamp(Exponential(aMeanTokens), 8.0, 600.0);
    return { { aPool },
             tokens,
             JitteredDuration(kPrefillMilliseconds +
                              kStepMilliseconds * tokens) };
  }

  auto MakeShared(double aRate, bool aFlood) -> void
  {
    const auto length =
      std::chrono::duration<double>(scenario_.length_).count();
    auto seconds = 0.0;
    while (true) {
      seconds += Exponential(1.0 / (aRate * RateFactor(seconds)));
      if (seconds > length) {
        return;
      }
      const auto kind = UniformUnit(random_);
      const auto priority = kind < 0.1   ? Priority::Urgent
                            : kind < 0.7 ? Priority::Normal
                                         : Priority::Draft;
      const auto allowedSeconds = priority == Priority::Urgent   ? 2.0
                                  : priority == Priority::Normal ? 4.0
                                                                 : 8.0;
      const auto arrival = start_ + Duration(std::llround(seconds * 1e6));
      const auto workspace = aFlood ? 0 : PickWorkspace();
      requests_.push_back(
        { .arrival_ = arrival,
          .deadline_ = arrival + Duration(std::llround(allowedSeconds * 1e6)),
          .workspace_ = { "w" + std::to_string(workspace) },
          .priority_ = priority,
          .stages_ = Stages(LengthFactor(seconds)),
          .session_ = 1 + UniformBelow(random_, 40) });
    }
  }

  auto MakeDedicated() -> void
  {
    constexpr double kTokens = 50.0;
    constexpr double kSwingSeconds = 4.0;
    const auto length =
      std::chrono::duration<double>(scenario_.length_).count();
    auto number = 0;
    for (const auto engines : scenario_.deployment_.dedicatedEngines_) {
      const auto mean =
        (kPrefillMilliseconds + kStepMilliseconds * kTokens) / 1000.0;
      const auto rate = kDedicatedLoad * engines * kEngineSlots / mean;
      const auto pool = "desk" + std::to_string(number);
      auto seconds = 0.0;
      while (true) {
        const auto swing =
          static_cast<int>(seconds / kSwingSeconds + number) % 2 == 0 ? 1.8
                                                                      : 0.2;
        seconds += Exponential(1.0 / (rate * swing));
        if (seconds > length) {
          break;
        }
        const auto arrival = start_ + Duration(std::llround(seconds * 1e6));
        requests_.push_back({ .arrival_ = arrival,
                              .deadline_ = arrival + std::chrono::seconds{ 2 },
                              .workspace_ = { "w" + std::to_string(number) },
                              .priority_ = Priority::Urgent,
                              .stages_ = { Generate(pool, kTokens) },
                              .dedicated_ = true });
      }
      ++number;
    }
  }

  const Scenario& scenario_;
  TimePoint start_;
  RandomEngine random_;
  std::vector<OfferedRequest> requests_;
};

} // namespace

auto MakeWorkload(const Scenario& aScenario, TimePoint aStart)
  -> std::vector<OfferedRequest>
{
  return WorkloadGenerator(aScenario, aStart).Make();
}

} // namespace bench
