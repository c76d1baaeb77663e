#include <doctest/doctest.h>
#include <goldcrestcroft/src/Gateway/UnreadableRows.h>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("a table full of unreadable rows floods the log")
{
  constexpr std::size_t kMaxLogged = 3;
  constexpr std::size_t kRows = 1000;
  const auto interval = std::chrono::seconds{ 10 };
  const TimePoint now{ std::chrono::hours{ 1 } };
  UnreadableRows rows(
    { .event_ = "row", .maxLogged_ = kMaxLogged, .interval_ = interval });
  const Error problem{ .message_ = "bad" };
  for (std::size_t i = 0; i < kRows; ++i) {
    CHECK(rows.Report(std::to_string(i), problem, now));
  }
  CHECK(rows.Summarize(now) == 0);
  CHECK(rows.Summarize(now + interval) == kRows - kMaxLogged);
  CHECK(rows.Summarize(now + 2 * interval) == 0);
}

TEST_CASE("the problem of a row is logged again and again")
{
  const TimePoint now{ std::chrono::hours{ 1 } };
  UnreadableRows rows({ .event_ = "row" });
  CHECK(rows.Report("a", { .message_ = "bad" }, now));
  CHECK_FALSE(rows.Report("a", { .message_ = "bad" }, now));
  CHECK(rows.Report("a", { .message_ = "worse" }, now));
  CHECK(rows.Summarize(now + std::chrono::hours{ 1 }) == 0);
}

} // namespace testing
