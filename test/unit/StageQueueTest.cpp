#include <doctest/doctest.h>
#include <goldcrestcroft/Staging.h>

#include <algorithm>
#include <numeric>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };

auto Order(std::uint64_t aId, std::uint32_t aPieces, Duration aDueIn)
  -> StageOrder
{
  StageOrder order{ .id_ = aId,
                    .service_ = "s",
                    .resultBytes_ = 1.0,
                    .deadline_ = kNow + std::chrono::seconds{ 10 },
                    .dueAt_ = kNow + aDueIn };
  order.pieces_.resize(aPieces);
  std::iota(order.pieces_.begin(), order.pieces_.end(), 0U);
  return order;
}

auto Orders(const std::vector<PieceTicket>& aTickets)
  -> std::vector<std::uint64_t>
{
  std::vector<std::uint64_t> orders;
  orders.reserve(aTickets.size());
  for (const auto& ticket : aTickets) {
    orders.push_back(ticket.order_);
  }
  return orders;
}

const StageQueue::FreeEngine kEngine{ .zone_ = "z1",
                                      .batch_ = 4,
                                      .freeBytes_ = 100.0,
                                      .totalBytes_ = 100.0,
                                      .callTime_ = milliseconds{ 240 } };
const std::vector<std::string> kZones{ "z1", "z2" };

} // namespace

TEST_CASE("the earliest due order goes first, late orders go last")
{
  StageQueue queue({});
  queue.Add(Order(1, 1, milliseconds{ 900 }), kNow);
  queue.Add(Order(2, 1, milliseconds{ 100 }), kNow);
  queue.Add(Order(3, 1, milliseconds{ 400 }), kNow);
  CHECK(Orders(queue.TakeCall(kEngine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 3, 1, 2 });
}

TEST_CASE("due times decide while all can be on time, ranks once some cannot")
{
  StageQueue queue({});
  auto early = Order(1, 1, milliseconds{ 400 });
  early.rank_ = 2;
  queue.Add(early, kNow);
  queue.Add(Order(2, 1, milliseconds{ 900 }), kNow);
  auto calm = queue;
  CHECK(Orders(calm.TakeCall(kEngine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 1, 2 });
  queue.Add(Order(3, 1, milliseconds{ 100 }), kNow);
  CHECK(Orders(queue.TakeCall(kEngine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 2, 1, 3 });
}

TEST_CASE(
  "waiting pieces of an order can be taken back, pieces in a call cannot")
{
  StageQueue queue({});
  auto engine = kEngine;
  engine.batch_ = 2;
  queue.Add(Order(1, 3, milliseconds{ 500 }), kNow);
  REQUIRE(queue.TakeCall(engine, kZones, kNow).size() == 2);
  CHECK(queue.TakeWaiting(1) == std::vector<std::uint32_t>{ 0 });
  CHECK(queue.TakeWaiting(1).empty());
  CHECK(queue.Waiting() == 0);
  REQUIRE(queue.Find(1) != nullptr);
  queue.Return({ .order_ = 1, .piece_ = 2 });
  CHECK(queue.TakeWaiting(1) == std::vector<std::uint32_t>{ 2 });
}

TEST_CASE("an order is not split, but waits for the next engine")
{
  StageQueue queue({});
  queue.Add(Order(1, 3, milliseconds{ 500 }), kNow);
  queue.Add(Order(2, 2, milliseconds{ 600 }), kNow);
  queue.Add(Order(3, 1, milliseconds{ 700 }), kNow);
  CHECK(Orders(queue.TakeCall(kEngine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 1, 1, 1, 3 });
  CHECK(queue.Waiting() == 2);
}

TEST_CASE("an order larger than a call is split, and its remainder goes first")
{
  StageQueue queue({});
  queue.Add(Order(1, 6, milliseconds{ 900 }), kNow);
  CHECK(queue.TakeCall(kEngine, kZones, kNow).size() == 4);
  queue.Add(Order(2, 1, milliseconds{ 500 }), kNow);
  CHECK(Orders(queue.TakeCall(kEngine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 1, 1, 2 });
}

// Guards against a blocked queue seen in a benchmark: parts of orders filled
// the engines' memory and waited for their remainder, which did not fit, while
// 2,000 pieces queued behind them.
TEST_CASE("an order that does not fit takes no memory and keeps its place")
{
  StageQueue queue({});
  auto engine = kEngine;
  engine.freeBytes_ = 2.0;
  queue.Add(Order(1, 3, milliseconds{ 500 }), kNow);
  queue.Add(Order(2, 1, milliseconds{ 600 }), kNow);
  auto small = Order(3, 1, milliseconds{ 700 });
  small.resultBytes_ = 0.01;
  queue.Add(small, kNow);
  CHECK(Orders(queue.TakeCall(engine, kZones, kNow)) ==
        std::vector<std::uint64_t>{ 3 });
  CHECK(queue.Waiting() == 4);
}

TEST_CASE("a piece waits for its zone while it stays on time")
{
  StageQueue queue({});
  auto otherZone = Order(1, 1, milliseconds{ 2000 });
  otherZone.zone_ = "z2";
  queue.Add(otherZone, kNow);
  CHECK(queue.TakeCall(kEngine, kZones, kNow).empty());
  CHECK(queue.TakeCall(kEngine, kZones, kNow + milliseconds{ 300 }).size() ==
        1);
  auto tight = Order(2, 1, milliseconds{ 330 });
  tight.zone_ = "z2";
  queue.Add(tight, kNow);
  CHECK(queue.TakeCall(kEngine, kZones, kNow).size() == 1);
  auto orphan = Order(3, 1, milliseconds{ 2000 });
  orphan.zone_ = "z9";
  queue.Add(orphan, kNow);
  CHECK(queue.TakeCall(kEngine, kZones, kNow).size() == 1);
}

TEST_CASE("orders beyond the maximum lateness are abandoned, others are not")
{
  StageQueue queue({});
  queue.Add(Order(1, 1, milliseconds{ 500 }), kNow);
  queue.Add(Order(2, 1, milliseconds{ 5000 }), kNow);
  CHECK(queue.TakeExpired(kNow + milliseconds{ 1999 }).empty());
  CHECK(queue.TakeExpired(kNow + milliseconds{ 2000 }) ==
        std::vector<std::uint64_t>{ 1 });
  CHECK(queue.Waiting() == 1);
  CHECK(queue.Find(1) == nullptr);
}

TEST_CASE("stages of a stream that resumes elsewhere do not wait behind all "
          "others")
{
  StageQueue queue({});
  // The request arrived five seconds ago, and its engine has just failed.
  StageDue due(kNow - std::chrono::seconds{ 5 }, milliseconds{ 1300 });
  CHECK(due.Of(1, milliseconds{ 200 }) == kNow - milliseconds{ 3900 });
  CHECK(due.Of(3, milliseconds{ 200 }) < due.Of(2, milliseconds{ 200 }));
  due.OnResumed(kNow);
  auto resumed = Order(1, 1, Duration{});
  resumed.dueAt_ = due.Of(2, milliseconds{ 200 });
  queue.Add(resumed, kNow);
  for (auto i = 2; i < 12; ++i) {
    queue.Add(Order(i, 1, milliseconds{ 900 }), kNow);
  }
  const auto first = Orders(queue.TakeCall(kEngine, kZones, kNow));
  CHECK(std::find(first.begin(), first.end(), 1) != first.end());
}

TEST_CASE("a returned piece waits again, one of a cancelled order does not")
{
  StageQueue queue({});
  queue.Add(Order(1, 2, milliseconds{ 500 }), kNow);
  const auto taken = queue.TakeCall(kEngine, kZones, kNow);
  queue.Return(taken.front());
  CHECK(queue.Waiting() == 1);
  queue.Cancel(1);
  queue.Return(taken.back());
  CHECK(queue.Waiting() == 0);
}

TEST_CASE("result memory is free again once a result is dropped or expires")
{
  ResultMemory memory(
    { .bytes_ = 10.0, .keepFor_ = std::chrono::seconds{ 4 } });
  memory.Reserve(6.0);
  memory.Hold("a", 6.0, kNow);
  memory.Reserve(3.0);
  memory.Hold("b", 3.0, kNow);
  CHECK(memory.Free() == doctest::Approx(1.0));
  memory.Drop("a");
  memory.Drop("a");
  CHECK(memory.Free() == doctest::Approx(7.0));
  memory.Expire(kNow + std::chrono::seconds{ 3 });
  CHECK(memory.Free() == doctest::Approx(7.0));
  memory.Expire(kNow + std::chrono::seconds{ 4 });
  CHECK(memory.Free() == doctest::Approx(10.0));
}

TEST_CASE(
  "an engine that reports that it is full is assumed to hold results of "
  "others for a while")
{
  ResultMemory memory(
    { .bytes_ = 10.0, .keepFor_ = std::chrono::seconds{ 4 } });
  memory.Reserve(3.0);
  memory.Hold("a", 3.0, kNow);
  memory.AssumeFull(kNow);
  CHECK(memory.Free() == doctest::Approx(0.0));
  memory.Drop("a");
  CHECK(memory.Free() == doctest::Approx(3.0));
  memory.Expire(kNow + milliseconds{ 500 });
  CHECK(memory.Free() == doctest::Approx(10.0));
}

TEST_CASE(
  "all hosts choose the same coordinator, also after the loss of others")
{
  const std::vector<std::string> hosts{ "h1", "h2", "h3", "h4" };
  const auto coordinator = ChooseCoordinator("s", hosts);
  for (const auto& lost : hosts) {
    auto left = hosts;
    std::erase(left, lost);
    CHECK((ChooseCoordinator("s", left) == coordinator) ==
          (lost != coordinator));
  }
  CHECK(ChooseCoordinator("s", {}).empty());
}

TEST_CASE("a forecast sums waits and calls along the longest chain")
{
  const StageProfile profile{ .callTime_ = milliseconds{ 200 },
                              .pieceTime_ = milliseconds{ 10 } };
  const RoutingTable routing(
    { .services_ = { { .name_ = "a", .stage_ = profile },
                     { .name_ = "b", .stage_ = profile } } });
  const Route route{ .stages_ = { { .service_ = "a" },
                                  { .service_ = "a" },
                                  { .service_ = "b", .after_ = { 1 } } } };
  const auto waitAt = [](const std::string& aService) -> Duration {
    return aService == "a" ? milliseconds{ 50 } : milliseconds{ 70 };
  };
  const auto forecast = ForecastChain(route, { 4, 1, 2 }, routing, waitAt);
  // The 70 ms at the second stage elapse while the first stage runs.
  CHECK(forecast.total_ == milliseconds{ 50 + 210 + 220 });
  CHECK(forecast.waiting_ == milliseconds{ 50 });
  CHECK(ForecastChain(route, { 0, 0, 0 }, routing, waitAt).total_ ==
        Duration{});
}

TEST_CASE("the time to the first event follows the route's prompts")
{
  FirstEventTime time;
  const auto before = time.Typical();
  for (auto i = 0; i < 100; ++i) {
    time.OnFirstEvent(milliseconds{ i % 2 == 0 ? 500 : 700 });
  }
  CHECK(time.Typical() > milliseconds{ 650 });
  CHECK(time.Typical() < milliseconds{ 750 });
  // One failing engine does not raise the estimate so far that all requests of
  // the route seem infeasible.
  time.OnFirstEvent(std::chrono::seconds{ 60 });
  CHECK(time.Typical() < milliseconds{ 900 });
  for (auto i = 0; i < 100; ++i) {
    time.OnFirstEvent(milliseconds{ 50 });
  }
  CHECK(time.Typical() < before);
}

TEST_CASE("a request with a long prompt may wait less for its stages")
{
  FirstEventTime longPrompts;
  for (auto i = 0; i < 100; ++i) {
    longPrompts.OnFirstEvent(milliseconds{ 800 });
  }
  const ChainForecast forecast{ .total_ = milliseconds{ 1500 },
                                .waiting_ = milliseconds{ 500 } };
  constexpr auto kObjective = milliseconds{ 2000 };
  CHECK(StageAdmission{}.Admits(forecast, kObjective, 0));
  CHECK_FALSE(StageAdmission{ .firstEvent_ = longPrompts.Typical() }.Admits(
    forecast, kObjective, 0));
  // Less urgent routes are refused first, but keep a minimum share.
  CHECK_FALSE(StageAdmission{}.Admits(forecast, kObjective, 2));
  const ChainForecast shorter{ .total_ = milliseconds{ 1200 },
                               .waiting_ = milliseconds{ 200 } };
  CHECK(StageAdmission{}.Admits(shorter, kObjective, 9));
}

} // namespace testing
