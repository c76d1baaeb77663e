#include "Property.h"

#include <goldcrestcroft/Membership.h>

#include <random>
#include <string>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kScheduleLength = 500;
// Longest time that a command of a live host is in flight in this simulation.
constexpr Duration kMaxCommandDelay = std::chrono::seconds{ 3 };

/** Simulates hosts that contend for one lease and send commands to an engine
 * that does not check the fencing token. */
class LeaseWorld
{
public:
  LeaseWorld()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(
        { .lease_ = Lease({ .self_ = { Name(i) },
                            .row_ = Key(),
                            .maxCommandDelay_ = kMaxCommandDelay +
                                                std::chrono::seconds{ 1 } }) });
    }
  }

  auto Step(unsigned aChoice) -> void
  {
    const auto kind = aChoice % 12;
    const auto pick = aChoice / 12;
    auto& host = hosts_[pick % kHosts];
    if (kind <= 4) {
      Act(host, (pick / 4) % 8);
    } else if (kind <= 6) {
      clock_.Advance(std::chrono::milliseconds(100 * (pick % 10)));
    } else if (kind == 7) {
      host.paused_ = !host.paused_;
    } else if (kind <= 9) {
      SendCommand(host);
    } else if (kind == 10) {
      Arrive(pick);
    } else {
      clock_.Advance(std::chrono::seconds(pick % 4));
    }
    DropLateCommands();
  }

  std::string violation_;
  int commands_ = 0;
  FencingToken highest_ = 0;

private:
  struct Host
  {
    Lease lease_;
    bool paused_ = false;
    std::optional<TransactReply> pendingWrite_;
  };
  struct Command
  {
    FencingToken token_;
    TimePoint sentAt_;
    bool unfenced_;
  };

  static auto Name(std::size_t aIndex) -> std::string
  {
    return "h" + std::to_string(aIndex);
  }
  static auto Key() -> RowKey { return { .table_ = "lease", .key_ = "roles" }; }

  auto Act(Host& aHost, unsigned aFault) -> void
  {
    if (aHost.paused_) {
      return;
    }
    const auto now = clock_.Now();
    auto& lease = aHost.lease_;
    if (lease.UnderWay() == Lease::Step::Write) {
      // A pause may lie between the read and this write.
      const auto reply = aFault == 0
                           ? TransactReply{}
                           : table_.Transact({ lease.PendingWrite() });
      lease.OnWritten(aFault == 1 ? TransactReply{} : reply, now);
    } else if (lease.UnderWay() == Lease::Step::Read) {
      lease.OnRead(aFault == 2 ? ReadReply{} : table_.Read({ Key() }), now);
    } else {
      lease.Tick(now);
    }
  }

  auto SendCommand(Host& aHost) -> void
  {
    const auto now = clock_.Now();
    const auto unfenced = aHost.lease_.MaySendUnfenced(now);
    if (!aHost.paused_ && aHost.lease_.Holds(now)) {
      underWay_.push_back({ .token_ = aHost.lease_.Token(),
                            .sentAt_ = now,
                            .unfenced_ = unfenced });
    }
  }

  auto Arrive(unsigned aPick) -> void
  {
    if (underWay_.empty()) {
      return;
    }
    const auto at = underWay_.begin() + (aPick % underWay_.size());
    const auto command = *at;
    underWay_.erase(at);
    ++commands_;
    if (command.unfenced_) {
      if (command.token_ < highestUnfenced_) {
        violation_ = "an old holder's order came after a new holder's";
      }
      highestUnfenced_ = std::max(highestUnfenced_, command.token_);
    }
    highest_ = std::max(highest_, command.token_);
  }

  auto DropLateCommands() -> void
  {
    std::erase_if(underWay_, [&](const Command& aCommand) {
      return clock_.Now() - aCommand.sentAt_ > kMaxCommandDelay;
    });
  }

  VirtualClock clock_;
  MemoryTable table_;
  std::vector<Host> hosts_;
  std::vector<Command> underWay_;
  FencingToken highestUnfenced_ = 0;
};

} // namespace

TEST_CASE("lease: commands of an old holder never follow a new one's, also at "
          "engines that ignore the token")
{
  CheckProperty([] {
    LeaseWorld world;
    for (const auto choice : *Schedule(kScheduleLength)) {
      world.Step(choice);
    }
    RC_ASSERT(world.violation_ == "");
  });
}

namespace {

auto Renew(Lease& aLease, MemoryTable& aTable, TimePoint aNow) -> void
{
  if (aLease.Tick(aNow) == Lease::Step::Read) {
    aLease.OnRead(aTable.Read({ { "lease", "roles" } }), aNow);
  }
  if (aLease.UnderWay() == Lease::Step::Write) {
    aLease.OnWritten(aTable.Transact({ aLease.PendingWrite() }), aNow);
  }
}

} // namespace

TEST_CASE(
  "lease: a new holder waits until no command of the old one can be in flight")
{
  VirtualClock clock;
  MemoryTable table;
  const RowKey row{ "lease", "roles" };
  Lease old(
    { .self_ = { "old" }, .row_ = row, .maxCommandDelay_ = kMaxCommandDelay });
  Lease next(
    { .self_ = { "next" }, .row_ = row, .maxCommandDelay_ = kMaxCommandDelay });
  Renew(old, table, clock.Now());
  Renew(next, table, clock.Now());
  // The old holder sends a command just before its lease expires, then stalls.
  clock.Advance(std::chrono::milliseconds{ 5900 });
  REQUIRE(old.Holds(clock.Now()));
  const auto sentAt = clock.Now();
  clock.Advance(std::chrono::milliseconds{ 200 });
  Renew(next, table, clock.Now());
  REQUIRE(next.Holds(clock.Now()));
  CHECK_FALSE(old.Holds(clock.Now()));
  CHECK(next.Token() > old.Token());
  // The command may still be in flight, so the new holder must not send any
  // yet.
  CHECK(clock.Now() - sentAt < kMaxCommandDelay);
  CHECK_FALSE(next.MaySendUnfenced(clock.Now()));
  while (clock.Now() - sentAt <= kMaxCommandDelay) {
    clock.Advance(std::chrono::seconds{ 1 });
    Renew(next, table, clock.Now());
  }
  CHECK(next.MaySendUnfenced(clock.Now()));
}

TEST_CASE("lease: a holder that resumes after the term holds nothing")
{
  VirtualClock clock;
  MemoryTable table;
  Lease lease({ .self_ = { "only" }, .row_ = { "lease", "roles" } });
  Renew(lease, table, clock.Now());
  CHECK(lease.Holds(clock.Now()));
  clock.Advance(std::chrono::seconds{ 60 });
  CHECK_FALSE(lease.Holds(clock.Now()));
}

TEST_CASE("lease: the schedules reach holders and commands")
{
  std::mt19937 random(5);
  auto commands = 0;
  FencingToken highest = 0;
  for (auto i = 0; i < 1000; ++i) {
    LeaseWorld world;
    for (std::size_t step = 0; step < kScheduleLength; ++step) {
      world.Step(static_cast<std::uint16_t>(random()));
    }
    commands += world.commands_;
    highest = std::max(highest, world.highest_);
  }
  CHECK(commands > 1000);
  CHECK(highest > 2);
}

} // namespace testing
