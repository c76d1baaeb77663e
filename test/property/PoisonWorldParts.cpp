#include "PoisonWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

/** First parts of prompts, which thousands of requests share, and the parts
 * that the requests of one session share. */
constexpr std::size_t kFirstParts = 3;
constexpr std::size_t kSessions = 500;

auto FirstPart(std::size_t aNumber) -> std::uint64_t
{
  return PromptPartFingerprint("first " + std::to_string(aNumber));
}
auto Session(std::size_t aNumber) -> std::uint64_t
{
  return PromptPartFingerprint("session " + std::to_string(aNumber));
}

/** Parts before the last one in the prompts that contain the crashing part;
 * sound requests use the same. */
auto CrashingPrompt(std::size_t aNumber) -> std::vector<std::uint64_t>
{
  const auto crashing =
    PromptPartFingerprint("crashing " + std::to_string(aNumber));
  return aNumber == 0 ? std::vector{ FirstPart(0), crashing }
                      : std::vector{ FirstPart(1), Session(aNumber), crashing };
}

} // namespace

auto PoisonWorld::PickParts() -> std::vector<std::uint64_t>
{
  if (options_.crashingPerSecond_ == 0.0) {
    return {};
  }
  return { FirstPart(Random(kFirstParts)), Session(Random(kSessions)) };
}

auto PoisonWorld::CauseOf(const Call& aCall) -> Poison*
{
  if (const auto found = poisons_.find(aCall.request_);
      found != poisons_.end()) {
    return &found->second;
  }
  const auto found = aCall.parts_.empty()
                       ? crashingParts_.end()
                       : crashingParts_.find(aCall.parts_.back());
  return found == crashingParts_.end() ? nullptr : &found->second;
}

auto PoisonWorld::IsQuarantined(const Host& aHost, const Call& aCall) const
  -> bool
{
  const auto isHeld = [&](std::uint64_t aSuspect) {
    return aHost.suspects_->IsQuarantined(aSuspect, clock_.Now());
  };
  return isHeld(aCall.request_) ||
         std::any_of(aCall.parts_.begin(), aCall.parts_.end(), isHeld);
}

auto PoisonWorld::IsLostResponding(const Poison* aCause) -> bool
{
  constexpr std::size_t kOneIn = 50;
  constexpr std::size_t kNotOneIn = 10;
  if (options_.crashingPerSecond_ == 0.0) {
    return false;
  }
  return aCause == nullptr ? Random(kOneIn) == 0
                           : options_.respondsFirst_ && Random(kNotOneIn) != 0;
}

auto PoisonWorld::ProveParts(std::size_t aEngine, std::uint64_t aRun) -> void
{
  const auto found = engines_[aEngine].runs_.find(aRun);
  if (found == engines_[aEngine].runs_.end()) {
    return;
  }
  const auto host = found->second.call_.host_;
  for (const auto part : std::exchange(found->second.run_.parts_, {})) {
    if (hosts_[host].suspects_) {
      Deliver(host, hosts_[host].suspects_->OnCompleted(part, clock_.Now()));
    }
  }
}

auto PoisonWorld::StartCrashingParts() -> void
{
  if (options_.crashingPerSecond_ == 0.0) {
    return;
  }
  constexpr std::array<int, 2> kStartMs{ 5000, 26'000 };
  for (std::size_t i = 0; i < kStartMs.size(); ++i) {
    crashingParts_[CrashingPrompt(i).back()] = { .countedCrashes_ = 5 };
    After(milliseconds{ kStartMs[i] }, [this, i] { CallCrashingPart(i); });
  }
}

auto PoisonWorld::CallCrashingPart(std::size_t aNumber) -> void
{
  // Sent once, as most streams may not be repeated.
  Send({ .request_ = RequestFingerprint(std::to_string(++numbers_)),
         .host_ = LiveHost(),
         .sendsLeft_ = 1,
         .retriesLeft_ = 0,
         .parts_ = CrashingPrompt(aNumber) });
  std::exponential_distribution<double> gap(options_.crashingPerSecond_);
  After(Duration{ static_cast<std::int64_t>(gap(random_) * 1e6) },
        [this, aNumber] { CallCrashingPart(aNumber); });
}

} // namespace testing
