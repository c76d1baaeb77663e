#include <doctest/doctest.h>
#include <goldcrestcroft/Routing.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::seconds;

auto At(int aSeconds) -> TimePoint
{
  return TimePoint{} + std::chrono::hours{ 1 } + seconds{ aSeconds };
}

auto Idle(int aSeconds) -> ClientLimits
{
  return { .idleTimeout_ = seconds{ aSeconds } };
}

} // namespace

TEST_CASE("a limit between two changes applies to connections idle since then")
{
  LimitHistory history;
  history.OnLimits(Idle(10), At(0));
  history.OnLimits(Idle(60), At(5));
  history.OnLimits(Idle(10), At(8));
  CHECK(history.MaxSince(At(1)).idleTimeout_ == seconds{ 60 });
  CHECK(history.MaxSince(At(6)).idleTimeout_ == seconds{ 60 });
  CHECK(history.MaxSince(At(9)).idleTimeout_ == seconds{ 10 });
}

TEST_CASE("the maximum is taken of each limit separately")
{
  LimitHistory history;
  history.OnLimits({ .maxHeaderBytes_ = 9,
                     .maxBodyBytes_ = 1,
                     .headerTimeout_ = seconds{ 4 },
                     .idleTimeout_ = seconds{ 20 } },
                   At(0));
  history.OnLimits({ .maxHeaderBytes_ = 1,
                     .maxBodyBytes_ = 7,
                     .headerTimeout_ = seconds{ 9 },
                     .idleTimeout_ = seconds{ 2 } },
                   At(1));
  CHECK(history.MaxSince(At(0)) ==
        ClientLimits{ .maxHeaderBytes_ = 9,
                      .maxBodyBytes_ = 7,
                      .headerTimeout_ = seconds{ 9 },
                      .idleTimeout_ = seconds{ 20 } });
}

TEST_CASE("a limit that still applies to an idle connection is kept, however "
          "often the limits change")
{
  LimitHistory history;
  history.OnLimits(Idle(100), At(0));
  for (auto i = 1; i <= 1000; ++i) {
    history.OnLimits(Idle(1 + i % 2), At(0) + std::chrono::milliseconds{ i });
  }
  CHECK(history.MaxSince(At(0)).idleTimeout_ == seconds{ 100 });
  CHECK(history.MaxSince(At(2)).idleTimeout_ <= seconds{ 2 });
}

} // namespace testing
