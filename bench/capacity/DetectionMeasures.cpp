#include "Measures.h"
#include "SomeRecord.h"

#include <optional>

namespace bench {

using namespace goldcrestcroft;

auto MeasureDetection(MeasureTable& aTable, int aHosts) -> void
{
  constexpr std::size_t kFanOut = 12;
  constexpr std::size_t kDigest = 8;
  constexpr Duration kPeriod = std::chrono::milliseconds{ 250 };
  const auto size = fmt::format("{} hosts", aHosts);
  VirtualClock clock;
  RandomEngine random(1);
  std::vector<PeerTable> tables;
  for (auto i = 0; i < aHosts; ++i) {
    tables.emplace_back(
      PeerTable::Options{ .self_ = SomeRecord(i),
                          .suspectAfter_ = std::chrono::seconds{ 2 },
                          .goneAfter_ = std::chrono::seconds{ 8 } },
      clock.Now());
    for (auto peer = 0; peer < aHosts; ++peer) {
      tables.back().OnRecord(SomeRecord(peer), clock.Now());
    }
  }
  constexpr auto kRounds = 700;
  constexpr auto kDeath = 40;
  std::size_t suspected = 0;
  std::size_t looked = 0;
  std::size_t falselyGone = 0;
  std::optional<Duration> known;
  for (auto round = 0; round < kRounds && !known; ++round) {
    clock.Advance(kPeriod);
    for (auto from = round >= kDeath ? 1 : 0; from < aHosts; ++from) {
      const auto self = tables[from].Beat();
      const auto digest = aHosts - 1 > static_cast<int>(kFanOut)
                            ? tables[from].TakeDigest(kDigest, clock.Now())
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
    auto sure = true;
    for (auto host = 1; host < aHosts; ++host) {
      tables[host].Tick(clock.Now());
      sure = sure && tables[host].StateOf(SomeRecord(0).host_, clock.Now()) ==
                       PeerState::Gone;
      const auto peer = 1 + UniformBelow(random, aHosts - 1);
      if (static_cast<int>(peer) != host) {
        const auto state = tables[host].StateOf(
          SomeRecord(static_cast<int>(peer)).host_, clock.Now());
        ++looked;
        suspected += state == PeerState::Suspected ? 1 : 0;
        falselyGone += state == PeerState::Gone ? 1 : 0;
      }
    }
    if (round >= kDeath && sure) {
      known = kPeriod * (round - kDeath);
    }
  }
  aTable.Add("membership", size, "a death is known to all after",
             known ? ToMilliseconds(*known) / 1000.0 : -1.0, "s");
  aTable.Add("membership", size, "live hosts wrongly suspected",
             static_cast<double>(suspected) / static_cast<double>(looked),
             "share");
  aTable.Add("membership", size, "live hosts wrongly gone",
             static_cast<double>(falselyGone) / static_cast<double>(looked),
             "share");
}

} // namespace bench
