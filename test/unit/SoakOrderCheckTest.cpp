#include "soak/OrderCheck.h"

#include <doctest/doctest.h>

namespace testing {

namespace {

using soak::FindOrderViolations;
using soak::FollowedStream;

constexpr auto kLength = 3;

auto StreamOf(std::vector<FollowedStream::Event> aEvents, bool aEnded)
  -> FollowedStream
{
  return { .attempt_ = "a",
           .events_ = std::move(aEvents),
           .ended_ = aEnded,
           .length_ = kLength };
}

} // namespace

TEST_CASE("the soak reports no stream whose events came once and in order")
{
  CHECK(FindOrderViolations(
          { StreamOf({}, false), StreamOf({ { 1, "1" }, { 2, "1" } }, false),
            StreamOf({ { 1, "2" }, { 2, "2" }, { 3, "2" } }, true) })
          .empty());
}

TEST_CASE("the soak reports streams that are joined, incomplete or go back")
{
  for (const auto& stream :
       { StreamOf({ { 1, "1" }, { 2, "2" } }, false),
         StreamOf({ { 1, "1" }, { 3, "1" } }, false),
         StreamOf({ { 1, "1" }, { 1, "1" } }, false),
         StreamOf({ { 1, "1" }, { 2, "1" }, { 1, "1" } }, false),
         StreamOf({ { 2, "1" } }, false),
         StreamOf({ { 1, "1" }, { 2, "1" } }, true), StreamOf({}, true) }) {
    CHECK(FindOrderViolations({ stream }).size() == 1);
  }
}

} // namespace testing
