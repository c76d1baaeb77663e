#include <doctest/doctest.h>
#include <goldcrestcroft/Resources.h>

#include <memory>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = MemoryAccount::Kind;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr MemoryBudget kBudget{ .total_ = 1000, .requests_ = 400 };

auto Account() -> MemoryAccount
{
  return MemoryAccount({ .budget_ = kBudget, .minRequestRate_ = 10 });
}

/** \brief A holder that counts its evictions. */
struct Held
{
  Held(MemoryAccount& aAccount, MemoryAccount::Holder aHolder)
    : share_(aAccount, aHolder, [this] { ++evictions_; })
  {
  }

  int evictions_ = 0;
  MemoryAccount::Share share_;
};

} // namespace

TEST_CASE("memory account: a budget follows from the machine's memory")
{
  const auto smallest = MemoryBudget::ForMachine(kSmallestMachineMb);
  CHECK(smallest.total_ == (80U << 20U) * 6 / 10);
  CHECK(smallest.requests_ < smallest.total_);
  // A single body in chunks may have twice its size as capacity.
  CHECK(smallest.requests_ > 2 * 4'194'304U);
  CHECK(MemoryBudget::ForMachine(512) > smallest);
  CHECK(MemoryBudget::ForMachine(0).requests_ > 0);
}

TEST_CASE("memory account: the request that is large and old is evicted first")
{
  auto account = Account();
  Held old(account, { .client_ = 1, .since_ = kStart });
  Held young(account, { .client_ = 2, .since_ = kStart + seconds{ 1 } });
  Held small(account, { .client_ = 3, .since_ = kStart });
  const auto now = kStart + seconds{ 2 };
  CHECK(old.share_.Resize(180, now));
  CHECK(young.share_.Resize(180, now));
  CHECK(small.share_.Resize(60, now));
  CHECK(old.evictions_ == 1);
  CHECK(young.evictions_ == 0);
  CHECK(account.Requests() == 240);
  CHECK_FALSE(old.share_.Resize(1, now));
}

TEST_CASE("memory account: complete requests stay and leave others their share")
{
  auto account = Account();
  Held complete(account, { .client_ = 1, .since_ = kStart });
  CHECK(complete.share_.Resize(290, kStart));
  complete.share_.MarkComplete();
  // A client may hold three quarters of the bound with complete requests.
  CHECK_FALSE(account.Admits(1, 20));
  CHECK(account.Admits(1, 10));
  CHECK(account.Admits(2, 110));
  CHECK_FALSE(account.Admits(2, 111));
  Held other(account, { .client_ = 2, .since_ = kStart });
  CHECK(other.share_.Resize(110, kStart));
  CHECK_FALSE(other.share_.Resize(120, kStart));
  CHECK(complete.evictions_ == 0);
  CHECK(account.Total() == 290);
}

TEST_CASE("memory account: requests that were admitted together do not exceed "
          "their client's share when they are complete")
{
  auto account = Account();
  Held first(account, { .client_ = 1, .since_ = kStart });
  Held second(account, { .client_ = 1, .since_ = kStart });
  CHECK(first.share_.Resize(200, kStart));
  CHECK(second.share_.Resize(200, kStart));
  CHECK(first.share_.MarkComplete());
  CHECK_FALSE(second.share_.MarkComplete());
  CHECK(second.evictions_ == 1);
  CHECK(account.Requests() == 200);
}

TEST_CASE("memory account: under pressure a slow request is evicted before an "
          "older one that grows")
{
  auto account = Account();
  Held slow(account, { .client_ = 1, .since_ = kStart });
  Held steady(account, { .client_ = 2, .since_ = kStart });
  CHECK(slow.share_.Resize(100, kStart + milliseconds{ 1 }));
  CHECK(steady.share_.Resize(100, kStart + milliseconds{ 1 }));
  steady.share_.OnReceived(100, kStart + seconds{ 4 });
  CHECK(steady.share_.Resize(200, kStart + seconds{ 4 }));
  slow.share_.OnReceived(1, kStart + seconds{ 4 });
  CHECK(slow.share_.Resize(101, kStart + seconds{ 4 }));
  // Neither is affected in the absence of pressure.
  CHECK(slow.evictions_ + steady.evictions_ == 0);
  steady.share_.OnReceived(120, kStart + seconds{ 8 });
  CHECK(steady.share_.Resize(320, kStart + seconds{ 8 }));
  CHECK(slow.evictions_ == 1);
}

TEST_CASE("memory account: requests do not take the reserve of responses, and "
          "a released share frees its bytes")
{
  auto account = Account();
  Held response(account, { .kind_ = Kind::Response, .since_ = kStart });
  CHECK(response.share_.Resize(600, kStart));
  {
    Held request(account, { .client_ = 1, .since_ = kStart });
    CHECK(request.share_.Resize(400, kStart));
    CHECK(response.evictions_ == 0);
    CHECK(response.share_.Resize(601, kStart) == false);
    CHECK(request.evictions_ == 0);
  }
  CHECK(account.Total() == 0);
}

TEST_CASE(
  "connection choice: the oldest connection of the client with the most "
  "is closed")
{
  CHECK_FALSE(ChooseConnectionToClose({}));
  CHECK(ChooseConnectionToClose({ { 1, kStart },
                                  { 2, kStart + seconds{ 2 } },
                                  { 2, kStart + seconds{ 1 } } }) == 2);
}

TEST_CASE("log throttle: lines of one cause are bounded and counted")
{
  LogThrottle throttle;
  std::size_t lines = 0;
  for (auto i = 0; i < 1000; ++i) {
    lines += throttle.OnEvent("memory", kStart) ? 1 : 0;
  }
  CHECK(lines == LogThrottle::kLinesPerSecond);
  CHECK(throttle.OnEvent("other", kStart) == 0);
  CHECK(throttle.OnEvent("memory", kStart + seconds{ 1 }) ==
        1000 - LogThrottle::kLinesPerSecond);
}

} // namespace testing
