// Uses the Membership, Once and Policy libraries without the daemon: a peer
// table that suspects a silent peer, a request that runs once although it is
// submitted twice, and the choice of a server.

#include <goldcrestcroft/Membership.h>
#include <goldcrestcroft/Once.h>
#include <goldcrestcroft/Policy.h>

#include <cstdio>

namespace {

using namespace goldcrestcroft;

auto ShowMembership(VirtualClock& aClock) -> bool
{
  PeerTable table({ .self_ = { .host_ = { "a" }, .incarnation_ = 1 } },
                  aClock.Now());
  const PeerRecord peer{ .host_ = { "b" }, .incarnation_ = 1, .heartbeat_ = 1 };
  table.OnRecord(peer, aClock.Now());
  const auto before = table.StateOf(peer.host_, aClock.Now());
  aClock.Advance(std::chrono::seconds{ 1 });
  table.Tick(aClock.Now());
  aClock.Advance(std::chrono::seconds{ 1 });
  table.Tick(aClock.Now());
  const auto after = table.StateOf(peer.host_, aClock.Now());
  std::puts("membership: a silent peer is suspected");
  return before == PeerState::Live && after == PeerState::Suspected;
}

auto ShowOnce(VirtualClock& aClock) -> bool
{
  MemoryTable table;
  auto runs = 0;
  for (const auto* attempt : { "first", "second" }) {
    OnceExecution once(
      { .key_ = { "pay 20417" },
        .attempt_ = { attempt },
        .host_ = { "a" },
        .incarnation_ = 1,
        .deadline_ = aClock.Now() + std::chrono::seconds{ 1 } });
    const auto reply =
      table.Transact({ { .key_ = { kOnceTable, once.Key().value_ },
                         .value_ = EncodeOnceRow(once.Row()),
                         .expected_ = 0 } });
    if (reply.status_ == TableStatus::Done) {
      once.OnInserted(reply.versions_.front(), aClock.Now());
    }
    runs += once.TryDispatch(aClock.Now()) ? 1 : 0;
  }
  std::printf("once: two submissions of one key, %d run\n", runs);
  return runs == 1;
}

auto ShowPolicy(VirtualClock& aClock) -> bool
{
  Pool pool{ .id_ = { "engines" },
             .kind_ = StageKind::Generate,
             .expected_ = std::chrono::milliseconds{ 100 } };
  for (const auto* name : { "e1", "e2" }) {
    pool.servers_.push_back(
      { .id_ = { name }, .pool_ = pool.id_, .slots_ = 2 });
  }
  Dispatcher<CorrectedLoadRouting> dispatcher({ .host_ = { "a" } }, {}, 1);
  dispatcher.Adopt(Configuration(
    { .workspaces_ = { { .id_ = { "gallery" } } }, .pools_ = { pool } }));
  dispatcher.SetClosed({ "e1" }, true);
  const auto deadline = aClock.Now() + std::chrono::seconds{ 1 };
  dispatcher.Submit({ .id_ = { "r1" },
                      .pool_ = pool.id_,
                      .workspace_ = { "gallery" },
                      .deadline_ = deadline });
  const auto assignment = dispatcher.Next(aClock.Now());
  if (!assignment) {
    return false;
  }
  std::printf("policy: the request goes to %s, the open server\n",
              assignment->server_.value_.c_str());
  return assignment->server_.value_ == "e2";
}

} // namespace

auto main() -> int
{
  VirtualClock clock;
  const auto passed =
    ShowMembership(clock) && ShowOnce(clock) && ShowPolicy(clock);
  return passed ? 0 : 1;
}
