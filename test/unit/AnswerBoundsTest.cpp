#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/AnswerBounds.h>
#include <goldcrestcroft/src/Gateway/HeldBytes.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("an event is bounded in bytes and in time, silence is not")
{
  const AnswerBounds bounds;
  const TimePoint start{};
  const auto late = start + 2 * bounds.eventTime_;
  EventRelay relay;
  EventWatch watch(bounds);
  relay.Feed("data: a\n\nda");
  CHECK(watch.Check(relay, start) == AnswerBound::None);
  // Its rest comes late, and with it the begin of the next one.
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

TEST_CASE("lines that are no events are bounded, signs of life between are not")
{
  const AnswerBounds bounds;
  const TimePoint now{};
  EventRelay relay;
  EventWatch watch(bounds);
  const std::string signs(bounds.eventBytes_ / 2, '\n');
  for (auto i = 0; i < 4; ++i) {
    relay.Feed(signs);
    CHECK(watch.Check(relay, now) == AnswerBound::None);
    relay.Feed("data: x\n\n");
    CHECK(watch.Check(relay, now) == AnswerBound::None);
  }
  relay.Feed(signs + signs + "\n");
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

TEST_CASE("the longest unfinished body gives way where all are too many bytes")
{
  HeldBytes all;
  auto cuts = 0;
  HeldBytes::Share whole(all, [] {});
  CHECK(whole.Grow(HeldBytes::kMost / 2));
  whole.Settle();
  HeldBytes::Share small(all, [] {});
  HeldBytes::Share endless(all, [&] { ++cuts; });
  CHECK(endless.Grow(HeldBytes::kMost / 2));
  CHECK(small.Grow(1));
  CHECK(cuts == 1);
  CHECK(endless.IsCut());
  CHECK_FALSE(small.IsCut());
  CHECK_FALSE(whole.IsCut());
  CHECK(all.Total() == HeldBytes::kMost / 2 + 1);
}

} // namespace testing
