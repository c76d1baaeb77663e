#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/AnswerBounds.h>
#include <goldcrestcroft/src/Gateway/HeldBytes.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "an incomplete event is limited in bytes and time, a silent stream is not")
{
  const AnswerBounds bounds;
  const TimePoint start{};
  const auto late = start + 2 * bounds.eventTime_;
  EventRelay relay;
  EventWatch watch(bounds);
  relay.Feed("data: a\n\nda");
  CHECK(watch.Check(relay, start) == AnswerBound::None);
  // The rest of the event arrives late, with the beginning of the next one.
  relay.Feed("ta: b\n\nda");
  CHECK(watch.Check(relay, late) == AnswerBound::None);
  relay.Feed("t");
  CHECK(watch.Check(relay, late) == AnswerBound::None);
  relay.Feed("a");
  CHECK(watch.Check(relay, late + late.time_since_epoch()) ==
        AnswerBound::EventTime);
  relay.DropPartial();
  relay.Feed(std::string(bounds.eventBytes_ + 1, 'x'));
  CHECK(watch.Check(relay, start) == AnswerBound::EventBytes);
}

TEST_CASE(
  "lines without data are limited in bytes, keep-alives between events are not")
{
  const AnswerBounds bounds;
  const TimePoint now{};
  EventRelay relay;
  EventWatch watch(bounds);
  const std::string keepAlives(bounds.eventBytes_ / 2, '\n');
  for (auto i = 0; i < 4; ++i) {
    relay.Feed(keepAlives);
    CHECK(watch.Check(relay, now) == AnswerBound::None);
    relay.Feed("data: x\n\n");
    CHECK(watch.Check(relay, now) == AnswerBound::None);
  }
  relay.Feed(keepAlives + keepAlives + "\n");
  CHECK(watch.Check(relay, now) == AnswerBound::EventBytes);
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
  HeldBytes all;
  auto aborts = 0;
  HeldBytes::Share complete(all, [] {});
  CHECK(complete.Grow(HeldBytes::kMaxBytes / 2));
  complete.MarkComplete();
  HeldBytes::Share small(all, [] {});
  HeldBytes::Share endless(all, [&] { ++aborts; });
  CHECK(endless.Grow(HeldBytes::kMaxBytes / 2));
  CHECK(small.Grow(1));
  CHECK(aborts == 1);
  CHECK(endless.IsAborted());
  CHECK_FALSE(small.IsAborted());
  CHECK_FALSE(complete.IsAborted());
  CHECK(all.Total() == HeldBytes::kMaxBytes / 2 + 1);
}

} // namespace testing
