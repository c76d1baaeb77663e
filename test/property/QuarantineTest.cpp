#include "Property.h"

#include <goldcrestcroft/Policy.h>

#include <algorithm>
#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr std::uint64_t kPoison = 1;
constexpr std::size_t kHosts = 4;

/** Hosts that share servers and quarantine updates. A poison request crashes
 * every server that runs it, and its caller retries it at any host. */
class PoisonFleet
{
public:
  PoisonFleet()
    : hosts_(kHosts, Quarantine({}))
  {
  }

  /** A server runs the poison request, unless it is suspected or quarantined,
   * together with other requests. */
  auto RunConcurrently(std::size_t aHost,
                       const std::vector<std::uint64_t>& aOthers) -> void
  {
    if (hosts_[aHost].Judge(kPoison, clock_.Now()) != Verdict::Free) {
      return;
    }
    ++crashes_;
    // Each host suspects the requests that it had in flight there itself.
    std::vector<QuarantineUpdate> updates;
    for (std::size_t host = 0; host < kHosts; ++host) {
      std::vector<std::uint64_t> mine;
      for (const auto other : aOthers) {
        if (other % kHosts == host) {
          mine.push_back(other);
        }
      }
      if (host == aHost) {
        mine.push_back(kPoison);
      }
      const auto found = hosts_[host].OnCrash(mine, false, clock_.Now());
      updates.insert(updates.end(), found.begin(), found.end());
    }
    Disseminate(updates);
  }

  /** A host that holds the turn runs one suspect alone on a server. */
  auto RunAlone(std::size_t aHost, std::uint64_t aFingerprint) -> void
  {
    if (hosts_[aHost].Judge(aFingerprint, clock_.Now()) != Verdict::Suspect) {
      return;
    }
    if (aFingerprint == kPoison) {
      ++crashes_;
      Disseminate(hosts_[aHost].OnCrash({ kPoison }, true, clock_.Now()));
    } else {
      Disseminate(hosts_[aHost].OnCleared(aFingerprint));
      ++cleared_;
    }
  }

  auto VerdictAt(std::size_t aHost, std::uint64_t aFingerprint) const -> Verdict
  {
    return hosts_[aHost].Judge(aFingerprint, clock_.Now());
  }

  int crashes_ = 0;
  int cleared_ = 0;

private:
  auto Disseminate(const std::vector<QuarantineUpdate>& aUpdates) -> void
  {
    for (const auto& update : aUpdates) {
      for (auto& host : hosts_) {
        host.OnUpdate(update, clock_.Now());
      }
    }
  }

  VirtualClock clock_;
  std::vector<Quarantine> hosts_;
};

} // namespace

TEST_CASE("quarantine: at most two crashes, and only the poison request is "
          "quarantined")
{
  CheckProperty([] {
    PoisonFleet fleet;
    std::set<std::uint64_t> harmless;
    for (const auto choice : *Schedule(120)) {
      const auto host = choice / 8 % kHosts;
      const std::uint64_t first = 2 + choice / 32 % 40;
      if (choice % 8 < 2) {
        fleet.RunConcurrently(host, { first, first + 1, first + 7 });
        harmless.insert({ first, first + 1, first + 7 });
      } else if (choice % 8 < 4) {
        fleet.RunAlone(host, kPoison);
      } else {
        fleet.RunAlone(host, first);
      }
    }
    RC_ASSERT(fleet.crashes_ <= 2);
    for (const auto fingerprint : harmless) {
      for (std::size_t host = 0; host < kHosts; ++host) {
        RC_ASSERT(fleet.VerdictAt(host, fingerprint) != Verdict::Quarantined);
      }
    }
  });
}

TEST_CASE(
  "quarantine: all hosts quarantine the poison request after the second "
  "crash")
{
  PoisonFleet fleet;
  fleet.RunConcurrently(0, { 5, 6, 7 });
  CHECK(fleet.VerdictAt(3, kPoison) == Verdict::Suspect);
  CHECK(fleet.VerdictAt(2, 6) == Verdict::Suspect);
  fleet.RunAlone(1, 6);
  CHECK(fleet.VerdictAt(2, 6) == Verdict::Free);
  fleet.RunAlone(2, kPoison);
  for (std::size_t host = 0; host < kHosts; ++host) {
    CHECK(fleet.VerdictAt(host, kPoison) == Verdict::Quarantined);
  }
  CHECK(fleet.crashes_ == 2);
}

TEST_CASE("quarantine: the number of entries is bounded")
{
  VirtualClock clock;
  Quarantine quarantine({ .capacity_ = 64 });
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    quarantine.OnCrash({ i }, false, clock.Now());
    clock.Advance(std::chrono::milliseconds{ 1 });
  }
  CHECK(quarantine.size() <= 64);
}

TEST_CASE("solo queue: one suspect at a time, only on an empty server, and the "
          "turn is always released")
{
  CheckProperty([] {
    VirtualClock clock;
    SoloQueue queue({ .settle_ = std::chrono::milliseconds{ 300 } });
    auto added = 0;
    auto running = 0;
    auto ended = 0;
    auto turns = 0;
    auto lostTurn = false;
    TimePoint reservedAt;
    auto releasedAt = clock.Now() - std::chrono::hours{ 1 };
    for (const auto choice : *Schedule(300)) {
      clock.Advance(std::chrono::milliseconds(choice % 50));
      const auto now = clock.Now();
      if (choice % 5 == 0 && added < 20) {
        queue.Add({ .id_ = { "a" + std::to_string(added++) },
                    .pool_ = { choice % 10 == 0 ? "x" : "y" },
                    .deadline_ = now + std::chrono::hours{ 1 } });
      }
      switch (queue.Next(now)) {
        case SoloQueue::Step::TakeTurn:
          RC_ASSERT(now - releasedAt >= std::chrono::milliseconds{ 200 });
          if (choice % 11 == 0) {
            // The turn was taken, but the host learns so only from a later try.
            queue.OnTurn(SoloQueue::Turn::Unknown, now);
            lostTurn = true;
          } else if (choice % 11 == 1) {
            queue.OnTurn(SoloQueue::Turn::Refused, now);
          } else {
            const auto taken = lostTurn || choice % 3 == 0;
            queue.OnTurn(
              taken ? SoloQueue::Turn::Ours : SoloQueue::Turn::Others, now);
            turns += taken ? 1 : 0;
            lostTurn = false;
          }
          break;
        case SoloQueue::Step::Reserve:
          queue.OnReserved(choice % 7 == 0 ? std::nullopt
                                           : std::optional(ServerId{ "s" }),
                           now);
          reservedAt = now;
          break;
        case SoloQueue::Step::Drain:
          queue.OnEmpty(now);
          break;
        case SoloQueue::Step::Start:
          RC_ASSERT(now - reservedAt >= std::chrono::milliseconds{ 300 });
          RC_ASSERT(running == 0);
          ++running;
          queue.OnStarted();
          break;
        case SoloQueue::Step::Running: {
          const auto name = AttemptId{ "a" + std::to_string(choice % 20) };
          const auto mine = queue.IsRunning(name);
          queue.OnEnded(name, choice % 2 == 0, now);
          running -= mine ? 1 : 0;
          ended += mine ? 1 : 0;
          break;
        }
        case SoloQueue::Step::Release:
          queue.OnFreed();
          queue.OnReleased(choice % 3 != 0, now);
          if (choice % 3 != 0) {
            --turns;
            releasedAt = now;
          }
          break;
        case SoloQueue::Step::Idle:
          break;
      }
      RC_ASSERT(turns == 0 || turns == 1);
    }
    RC_ASSERT(ended <= added);
    for (auto i = 0; i < 20; ++i) {
      queue.Remove({ "a" + std::to_string(i) });
      queue.OnEnded({ "a" + std::to_string(i) }, false, clock.Now());
    }
    for (auto i = 0; i < 5; ++i) {
      clock.Advance(std::chrono::milliseconds{ 200 });
      const auto step = queue.Next(clock.Now());
      if (step == SoloQueue::Step::TakeTurn) {
        RC_ASSERT(lostTurn);
        queue.OnTurn(SoloQueue::Turn::Ours, clock.Now());
        turns = 1;
        lostTurn = false;
      } else if (step == SoloQueue::Step::Release) {
        queue.OnReleased(true, clock.Now());
        turns = 0;
      }
    }
    RC_ASSERT(turns == 0);
    RC_ASSERT(!lostTurn);
  });
}

} // namespace testing
