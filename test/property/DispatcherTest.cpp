#include "Property.h"

#include <goldcrestcroft/Policy.h>

#include <map>
#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr unsigned kSlots = 3;

auto MakeConfig() -> Configuration
{
  Pool shared{ .id_ = { "shared" },
               .kind_ = StageKind::Generate,
               .licensedCopies_ = 3,
               .expected_ = std::chrono::milliseconds{ 10 } };
  Pool desk = shared;
  desk.id_ = { "desk" };
  desk.lendsTo_ = { { "shared" } };
  for (const auto* name : { "s1", "s2", "s3" }) {
    shared.servers_.push_back(
      { .id_ = { name }, .pool_ = shared.id_, .slots_ = kSlots });
  }
  for (const auto* name : { "d1", "d2" }) {
    desk.servers_.push_back(
      { .id_ = { name }, .pool_ = desk.id_, .slots_ = kSlots });
  }
  return Configuration(
    { .workspaces_ = { { .id_ = { "a" } }, { .id_ = { "b" }, .weight_ = 2 } },
      .pools_ = { shared, desk } });
}

} // namespace

TEST_CASE(
  "dispatcher: every work item is started or refused once, closed servers "
  "get none, and slots are not exceeded")
{
  CheckProperty([] {
    VirtualClock clock;
    Dispatcher<CorrectedLoadRouting> dispatcher({ .host_ = { "h" } }, {}, 1);
    dispatcher.Adopt(MakeConfig());
    std::set<std::string> waiting;
    std::map<std::string, std::string> started;
    std::map<std::string, int> at;
    std::set<std::string> closed;
    auto submitted = 0;
    for (const auto choice : *Schedule(300)) {
      const auto pick = choice / 8;
      clock.Advance(std::chrono::milliseconds(pick % 5));
      const auto now = clock.Now();
      if (choice % 8 < 3) {
        const auto name = "w" + std::to_string(submitted++);
        dispatcher.Submit(
          { .id_ = { name },
            .pool_ = { pick % 3 == 0 ? "desk" : "shared" },
            .workspace_ = { pick % 2 == 0 ? "a" : "b" },
            .priority_ = static_cast<Priority>(pick % 3),
            .deadline_ = now + std::chrono::milliseconds(pick % 200),
            .affinity_ = static_cast<std::uint64_t>(pick % 4) });
        waiting.insert(name);
      } else if (choice % 8 < 6 && !started.empty()) {
        auto ended = started.begin();
        std::advance(ended, pick % started.size());
        const auto outcome = static_cast<Finish>(pick % 3);
        dispatcher.OnFinish({ ended->first }, outcome, now);
        --at[ended->second];
        started.erase(ended);
      } else if (choice % 8 == 6) {
        const auto name =
          std::string(pick % 2 == 0 ? "s" : "d") + std::to_string(1 + pick % 3);
        const auto close = pick % 5 < 2;
        dispatcher.SetClosed({ name }, close);
        close ? (void)closed.insert(name) : (void)closed.erase(name);
      } else {
        dispatcher.Tick(now);
      }
      for (const auto& late : dispatcher.TakeInfeasible(now)) {
        RC_ASSERT(waiting.erase(late.id_.value_) == 1U);
      }
      while (const auto assignment = dispatcher.Next(now)) {
        const auto& name = assignment->work_.id_.value_;
        const auto& server = assignment->server_.value_;
        RC_ASSERT(waiting.erase(name) == 1U);
        RC_ASSERT(!closed.contains(server));
        started[name] = server;
        RC_ASSERT(++at[server] <= static_cast<int>(2 * kSlots + 1));
        const auto own = assignment->work_.pool_.value_[0] == server[0];
        RC_ASSERT(assignment->borrowed_ == !own);
        RC_ASSERT(own || at[server] <= static_cast<int>(kSlots));
      }
    }
    RC_ASSERT(dispatcher.Waiting() == waiting.size());
    RC_ASSERT(dispatcher.InFlight() == started.size());
  });
}

TEST_CASE("dispatcher: a workspace within its share is not starved by another "
          "that overloads the pool")
{
  VirtualClock clock;
  Dispatcher<CorrectedLoadRouting> dispatcher(
    { .host_ = { "h" }, .admission_ = false, .lending_ = false }, {}, 1);
  dispatcher.Adopt(MakeConfig());
  const auto submit = [&](const char* aWorkspace, int aNumber) {
    dispatcher.Submit({ .id_ = { aWorkspace + std::to_string(aNumber) },
                        .pool_ = { "shared" },
                        .workspace_ = { aWorkspace },
                        .priority_ = Priority::Urgent,
                        .deadline_ = clock.Now() + std::chrono::hours{ 1 } });
  };
  for (auto i = 0; i < 500; ++i) {
    submit("a", i);
  }
  std::vector<AttemptId> running;
  auto started = 0;
  for (auto round = 0; round < 100; ++round) {
    submit("b", round);
    for (const auto& id : std::exchange(running, {})) {
      dispatcher.OnFinish(id, Finish::Completed, clock.Now());
    }
    clock.Advance(std::chrono::milliseconds{ 10 });
    while (const auto assignment = dispatcher.Next(clock.Now())) {
      running.push_back(assignment->work_.id_);
      started += assignment->work_.workspace_.value_ == "b" ? 1 : 0;
    }
  }
  CHECK(started >= 99);
}

} // namespace testing
