#include "Property.h"

#include <goldcrestcroft/Membership.h>

#include <random>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr std::size_t kHosts = 5;

auto Record(std::size_t aIndex, Incarnation aIncarnation) -> PeerRecord
{
  return { .host_ = { "h" + std::to_string(aIndex) },
           .incarnation_ = aIncarnation };
}

auto MakeTable(std::size_t aIndex, Incarnation aIncarnation, TimePoint aNow)
  -> PeerTable
{
  return PeerTable({ .self_ = Record(aIndex, aIncarnation) }, aNow);
}

} // namespace

TEST_CASE("membership: incarnations never go back, leaving lasts for the rest "
          "of one, in any order of messages")
{
  CheckProperty([] {
    VirtualClock clock;
    auto table = MakeTable(0, 1, clock.Now());
    Incarnation highest = 0;
    Incarnation leftIn = 0;
    for (const auto choice : *Schedule(80)) {
      auto record = Record(1, 1 + choice % 4);
      record.heartbeat_ = choice / 4 % 16;
      record.leaving_ = choice / 64 % 8 == 0;
      const auto taken = table.OnRecord(record, clock.Now());
      if (taken) {
        RC_ASSERT(record.incarnation_ >= highest);
        highest = record.incarnation_;
        leftIn = record.leaving_ ? highest : leftIn;
      }
      clock.Advance(std::chrono::milliseconds(choice % 100));
      const auto state = table.StateOf({ "h1" }, clock.Now());
      if (state == PeerState::Live) {
        RC_ASSERT(leftIn != highest);
      }
      if (highest > 1) {
        RC_ASSERT(table.HasEnded({ "h1" }, highest - 1, clock.Now()));
      }
    }
  });
}

TEST_CASE("membership: by gossip alone every host detects each death and no "
          "other host counts as dead")
{
  VirtualClock clock;
  std::mt19937 random(4);
  std::vector<PeerTable> tables;
  for (std::size_t i = 0; i < kHosts; ++i) {
    tables.push_back(MakeTable(i, 1, clock.Now()));
  }
  constexpr std::size_t kDead = 2;
  for (auto tick = 0; tick < 200; ++tick) {
    clock.Advance(std::chrono::milliseconds{ 200 });
    for (std::size_t from = 0; from < kHosts; ++from) {
      if (from == kDead && tick >= 100) {
        continue;
      }
      const auto self = tables[from].Beat();
      const auto digest = tables[from].TakeDigest(4, clock.Now());
      const auto to = random() % kHosts; // one random peer a round
      tables[to].OnRecord(self, clock.Now());
      for (const auto& record : digest) {
        tables[to].OnRecord(record, clock.Now());
      }
    }
    for (auto& table : tables) {
      table.Tick(clock.Now());
    }
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    for (std::size_t peer = 0; peer < kHosts; ++peer) {
      if (host == peer || host == kDead) {
        continue;
      }
      const auto state =
        tables[host].StateOf({ "h" + std::to_string(peer) }, clock.Now());
      CHECK((state == PeerState::Gone) == (peer == kDead));
    }
  }
}

TEST_CASE("membership: a host that was paused does not declare the others gone")
{
  VirtualClock clock;
  auto table = MakeTable(0, 1, clock.Now());
  table.OnRecord(Record(1, 1), clock.Now());
  table.Tick(clock.Now());
  clock.Advance(std::chrono::seconds{ 30 });
  CHECK(table.Tick(clock.Now()).empty());
  CHECK(table.StateOf({ "h1" }, clock.Now()) == PeerState::Live);
}

TEST_CASE("membership: a report of any source makes a server leaving, and the "
          "list alone cannot withdraw it")
{
  VirtualClock clock;
  ServerDirectory servers({});
  const ServerId server{ "s" };
  CHECK(servers.MayServe(server, clock.Now()));
  servers.OnLeaving(server, ServerDirectory::Source::Server, clock.Now());
  servers.OnList({ { .id_ = "s" } }, clock.Now()); // the list lags
  CHECK_FALSE(servers.MayServe(server, clock.Now()));
  CHECK(servers.LeavingFirstHand(clock.Now()).size() == 1);
  ServerDirectory other({});
  other.OnLeaving(server, ServerDirectory::Source::Peer, clock.Now());
  CHECK_FALSE(other.MayServe(server, clock.Now()));
  CHECK(other.LeavingFirstHand(clock.Now()).empty());
  other.OnDown({ "t" }, clock.Now());
  CHECK(other.TakeProbes(clock.Now()).empty());
  clock.Advance(std::chrono::seconds{ 1 });
  CHECK(other.TakeProbes(clock.Now()).size() == 1);
  other.OnUp({ "t" });
  CHECK(other.MayServe({ "t" }, clock.Now()));
}

TEST_CASE("membership: among many hosts no live one is taken for gone")
{
  constexpr std::size_t kMany = 320;
  VirtualClock clock;
  std::mt19937 random(4);
  std::vector<PeerTable> tables;
  for (std::size_t i = 0; i < kMany; ++i) {
    tables.push_back(MakeTable(i, 1, clock.Now()));
    for (std::size_t peer = 0; peer < kMany; ++peer) {
      tables.back().OnRecord(Record(peer, 1), clock.Now());
    }
  }
  std::size_t gone = 0;
  for (auto tick = 0; tick < 120; ++tick) {
    clock.Advance(std::chrono::milliseconds{ 250 });
    for (auto& table : tables) {
      const auto self = table.Beat();
      const auto digest = table.TakeDigest(8, clock.Now());
      for (auto sent = 0; sent < 4; ++sent) {
        auto& to = tables[random() % kMany];
        to.OnRecord(self, clock.Now());
        for (const auto& record : digest) {
          to.OnRecord(record, clock.Now());
        }
      }
    }
    for (auto& table : tables) {
      gone += table.Tick(clock.Now()).size();
    }
  }
  CHECK(gone == 0);
}

} // namespace testing
