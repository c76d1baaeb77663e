#include "Property.h"

#include <goldcrestcroft/Engines.h>

#include <deque>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr std::size_t kHosts = 4;
constexpr std::size_t kScheduleLength = 400;
constexpr Duration kWindow = std::chrono::seconds{ 10 };
constexpr double kRatio = 0.2;
constexpr double kSlack = 40.0;

/** Several hosts that retry as often as they may. The retries of the fleet in
 * any window are compared with the requests of that window or a neighbouring
 * one. */
class RetryWorld
{
public:
  RetryWorld()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.emplace_back(RetryWindow::Options{
        .window_ = kWindow, .ratio_ = kRatio, .slack_ = kSlack });
    }
  }

  auto Step(std::uint16_t aChoice) -> bool
  {
    now_ += milliseconds{ aChoice % 97 };
    auto& host = hosts_[aChoice % kHosts];
    if (aChoice % 3 == 0) {
      host.OnRequest(now_);
      requests_.push_back(now_);
    } else if (host.TryTake(kHosts, now_)) {
      retries_.push_back(now_);
    }
    return Holds();
  }

private:
  static auto CountIn(const std::deque<TimePoint>& aTimes, TimePoint aFrom,
                      TimePoint aTo) -> double
  {
    return static_cast<double>(
      std::count_if(aTimes.begin(), aTimes.end(),
                    [&](TimePoint aAt) { return aAt > aFrom && aAt <= aTo; }));
  }

  [[nodiscard]] auto Holds() const -> bool
  {
    const auto from = now_ - kWindow;
    const auto retries = CountIn(retries_, from, now_);
    const auto requests =
      std::max({ CountIn(requests_, from, now_),
                 CountIn(requests_, from - kWindow, from),
                 CountIn(requests_, from - kWindow / 2, now_ - kWindow / 2) });
    return retries <= kRatio * requests + kSlack;
  }

  std::vector<RetryWindow> hosts_;
  TimePoint now_{ std::chrono::hours{ 1 } };
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

} // namespace

TEST_CASE("the retries of all hosts stay within the shared budget")
{
  CheckProperty([] {
    const auto schedule = *Schedule(kScheduleLength);
    RetryWorld world;
    for (const auto choice : schedule) {
      RC_ASSERT(world.Step(choice));
    }
  });
}

} // namespace testing
