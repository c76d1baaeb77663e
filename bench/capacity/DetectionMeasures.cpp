#include "MakePeerRecord.h"
#include "Measures.h"

#include <optional>

namespace bench {

using namespace goldcrestcroft;

auto MeasureDetection(MeasureTable& aTable, int aHosts) -> void
{
  constexpr std::size_t kFanOut = 12;
  constexpr std::size_t kDigestSize = 8;
  constexpr Duration kPeriod = std::chrono::milliseconds{ 250 };
  const auto size = fmt::format("{} hosts", aHosts);
  VirtualClock clock;
  RandomEngine random(1);
  std::vector<PeerTable> tables;
  for (auto i = 0; i < aHosts; ++i) {
    tables.emplace_back(
      PeerTable::Options{ .self_ = MakePeerRecord(i),
                          .suspectAfter_ = std::chrono::seconds{ 2 },
                          .goneAfter_ = std::chrono::seconds{ 8 } },
      clock.Now());
    for (auto peer = 0; peer < aHosts; ++peer) {
      tables.back().OnRecord(MakePeerRecord(peer), clock.Now());
    }
  }
  constexpr auto kRounds = 700;
  constexpr auto kDeathRound = 40;
  std::size_t falselySuspected = 0;
  std::size_t samples = 0;
  std::size_t falselyGone = 0;
  std::optional<Duration> detectionTime;
  for (auto round = 0; round < kRounds && !detectionTime; ++round) {
    clock.Advance(kPeriod);
    for (auto from = round >= kDeathRound ? 1 : 0; from < aHosts; ++from) {
      const auto self = tables[from].Beat();
      const auto digest = aHosts - 1 > static_cast<int>(kFanOut)
                            ? tables[from].TakeDigest(kDigestSize, clock.Now())
                            : std::vector<PeerRecord>();
      const auto sends = std::min<std::size_t>(kFanOut, aHosts - 1);
      for (std::size_t i = 0; i < sends; ++i) {
        const auto to = aHosts - 1 <= static_cast<int>(kFanOut)
                          ? (from + 1 + i) % aHosts
                          : UniformBelow(random, aHosts);
        tables[to].OnRecord(self, clock.Now());
        for (const auto& record : digest) {
          tables[to].OnRecord(record, clock.Now());
        }
      }
    }
    auto allDetected = true;
    for (auto host = 1; host < aHosts; ++host) {
      tables[host].Tick(clock.Now());
      allDetected =
        allDetected && tables[host].StateOf(MakePeerRecord(0).host_,
                                            clock.Now()) == PeerState::Gone;
      const auto peer = 1 + UniformBelow(random, aHosts - 1);
      if (static_cast<int>(peer) != host) {
        const auto state = tables[host].StateOf(
          MakePeerRecord(static_cast<int>(peer)).host_, clock.Now());
        ++samples;
        falselySuspected += state == PeerState::Suspected ? 1 : 0;
        falselyGone += state == PeerState::Gone ? 1 : 0;
      }
    }
    if (round >= kDeathRound && allDetected) {
      detectionTime = kPeriod * (round - kDeathRound);
    }
  }
  aTable.Add("membership", size, "a death is known to all after",
             detectionTime ? ToMilliseconds(*detectionTime) / 1000.0 : -1.0,
             "s");
  aTable.Add("membership", size, "live hosts wrongly suspected",
             static_cast<double>(falselySuspected) /
               static_cast<double>(samples),
             "share");
  aTable.Add("membership", size, "live hosts wrongly gone",
             static_cast<double>(falselyGone) / static_cast<double>(samples),
             "share");
}

} // namespace bench
