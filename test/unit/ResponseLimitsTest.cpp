#include <doctest/doctest.h>
#include <goldcrestcroft/Resources.h>
#include <goldcrestcroft/src/Gateway/ResponseLimits.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "an incomplete event is limited in bytes and time, a silent stream is not")
{
  const ResponseLimits bounds;
  const TimePoint start{};
  const auto late = start + 2 * bounds.eventTime_;
  EventRelay relay;
  EventLimitChecker watch(bounds);
  relay.Feed("data: a\n\nda");
  CHECK(watch.Check(relay, start) == ResponseLimit::None);
  // The rest of the event arrives late, with the beginning of the next one.
  relay.Feed("ta: b\n\nda");
  CHECK(watch.Check(relay, late) == ResponseLimit::None);
  relay.Feed("t");
  CHECK(watch.Check(relay, late) == ResponseLimit::None);
  relay.Feed("a");
  CHECK(watch.Check(relay, late + late.time_since_epoch()) ==
        ResponseLimit::EventTime);
  relay.DropPartial();
  relay.Feed(std::string(bounds.eventBytes_ + 1, 'x'));
  CHECK(watch.Check(relay, start) == ResponseLimit::EventBytes);
}

TEST_CASE(
  "lines without data are limited in bytes, keep-alives between events are not")
{
  const ResponseLimits bounds;
  const TimePoint now{};
  EventRelay relay;
  EventLimitChecker watch(bounds);
  const std::string keepAlives(bounds.eventBytes_ / 2, '\n');
  for (auto i = 0; i < 4; ++i) {
    relay.Feed(keepAlives);
    CHECK(watch.Check(relay, now) == ResponseLimit::None);
    relay.Feed("data: x\n\n");
    CHECK(watch.Check(relay, now) == ResponseLimit::None);
  }
  relay.Feed(keepAlives + keepAlives + "\n");
  CHECK(watch.Check(relay, now) == ResponseLimit::EventBytes);
}

TEST_CASE("an id that is too long is not sent to another engine")
{
  EventRelay relay;
  relay.Feed("id: 1\ndata: a\n\n");
  CHECK_FALSE(relay.HasLongId());
  relay.Feed("id: " + std::string(5000, '2') + "\ndata: b\n\n");
  CHECK(relay.HasLongId());
  CHECK(relay.LastId() == "1");
}

TEST_CASE("the largest incomplete body is aborted when the total is exceeded")
{
  MemoryAccount all;
  const MemoryAccount::Holder response{ .kind_ =
                                          MemoryAccount::Kind::Response };
  const auto half = all.Budget().total_ / 2;
  auto aborts = 0;
  MemoryAccount::Share complete(all, response, [] {});
  CHECK(complete.Resize(half, {}));
  complete.MarkComplete();
  MemoryAccount::Share small(all, response, [] {});
  MemoryAccount::Share endless(all, response, [&] { ++aborts; });
  CHECK(endless.Resize(half, {}));
  CHECK(small.Resize(all.Budget().total_ - 2 * half + 1, {}));
  CHECK(aborts == 1);
  CHECK(endless.IsEvicted());
  CHECK_FALSE(small.IsEvicted());
  CHECK_FALSE(complete.IsEvicted());
  CHECK(all.Total() == all.Budget().total_ - half + 1);
}

} // namespace testing
