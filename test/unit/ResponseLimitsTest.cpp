#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/BufferedBytes.h>
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
  BufferedBytes all;
  auto aborts = 0;
  BufferedBytes::Share complete(all, [] {});
  CHECK(complete.Grow(BufferedBytes::kMaxBytes / 2));
  complete.MarkComplete();
  BufferedBytes::Share small(all, [] {});
  BufferedBytes::Share endless(all, [&] { ++aborts; });
  CHECK(endless.Grow(BufferedBytes::kMaxBytes / 2));
  CHECK(small.Grow(1));
  CHECK(aborts == 1);
  CHECK(endless.IsAborted());
  CHECK_FALSE(small.IsAborted());
  CHECK_FALSE(complete.IsAborted());
  CHECK(all.Total() == BufferedBytes::kMaxBytes / 2 + 1);
}

} // namespace testing
