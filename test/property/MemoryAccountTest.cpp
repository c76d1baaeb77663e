#include "Property.h"

#include <goldcrestcroft/Resources.h>

#include <memory>
#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr std::size_t kScheduleLength = 300;
constexpr std::size_t kMaxBody = 4'194'304;
constexpr std::uint64_t kOrdinaryClient = 1000;

/** A flood of requests from few clients that grow, stall, complete within what
 * is admitted, or leave. */
class FloodWorld
{
public:
  explicit FloodWorld(std::size_t aClients)
    : clients_(aClients)
  {
  }

  auto Step(std::uint16_t aChoice) -> void
  {
    now_ += milliseconds{ aChoice % 7 };
    const auto pick = aChoice % 64;
    if (pick < 24 || flood_.empty()) {
      Open(aChoice % clients_, aChoice);
    } else if (pick < 56) {
      auto& holder = *flood_[aChoice % flood_.size()];
      if (complete_.contains(&holder)) {
        return; // A complete request does not grow.
      }
      const auto grown = holder.Bytes() + (aChoice % 97) * 20'000;
      holder.Resize(std::min(grown, kMaxBody), now_);
    } else if (pick < 60) {
      Complete(*flood_[aChoice % flood_.size()]);
    } else {
      complete_.erase(flood_[aChoice % flood_.size()].get());
      flood_.erase(flood_.begin() +
                   static_cast<std::ptrdiff_t>(aChoice % flood_.size()));
    }
  }

  /** \brief Opens a request that stalls just short of a body of maximum size.
   */
  auto OpenStalled(std::uint64_t aClient) -> void
  {
    Open(aClient, 0);
    flood_.back()->Resize(kMaxBody - 1, now_);
  }

  auto OpenOrdinary() -> std::shared_ptr<MemoryAccount::Share>
  {
    return std::make_shared<MemoryAccount::Share>(
      account_,
      MemoryAccount::Holder{ .client_ = kOrdinaryClient, .since_ = now_ },
      [] {});
  }

  [[nodiscard]] auto Account() const -> const MemoryAccount&
  {
    return account_;
  }
  [[nodiscard]] auto Now() const -> TimePoint { return now_; }

private:
  auto Open(std::uint64_t aClient, std::uint16_t aChoice) -> void
  {
    flood_.push_back(std::make_shared<MemoryAccount::Share>(
      account_, MemoryAccount::Holder{ .client_ = aClient, .since_ = now_ },
      [] {}));
    flood_.back()->Resize((aChoice % 211) * 20'000, now_);
  }
  auto Complete(MemoryAccount::Share& aShare) -> void
  {
    if (!aShare.IsEvicted() && !complete_.contains(&aShare)) {
      aShare.MarkComplete();
      complete_.insert(&aShare);
    }
  }

  std::size_t clients_;
  TimePoint now_{ std::chrono::hours{ 1 } };
  MemoryAccount account_;
  std::vector<std::shared_ptr<MemoryAccount::Share>> flood_;
  std::set<MemoryAccount::Share*> complete_;
};

} // namespace

TEST_CASE("memory account: no flood of requests exceeds the bounds")
{
  CheckProperty([] {
    FloodWorld world(5);
    for (const auto choice : *Schedule(kScheduleLength)) {
      world.Step(choice);
      const auto& budget = world.Account().Budget();
      RC_ASSERT(world.Account().Requests() <= budget.requests_);
      RC_ASSERT(world.Account().Total() <= budget.total_);
    }
  });
}

TEST_CASE(
  "memory account: a body of maximum size of another client is admitted "
  "and completed during a flood of one client")
{
  CheckProperty([] {
    FloodWorld world(1);
    const auto schedule = *Schedule(kScheduleLength);
    // In the second half, the body grows by a packet at each step.
    const auto half = schedule.size() / 2;
    for (std::size_t i = 0; i < half; ++i) {
      world.Step(schedule[i]);
    }
    RC_ASSERT(world.Account().Admits(kOrdinaryClient, kMaxBody));
    const auto ordinary = world.OpenOrdinary();
    for (std::size_t i = half; i < schedule.size(); ++i) {
      world.Step(schedule[i]);
      const auto part = i - half + 1;
      const auto grown = kMaxBody * part / (schedule.size() - half);
      RC_ASSERT(ordinary->Resize(grown, world.Now()));
    }
    RC_ASSERT(!ordinary->IsEvicted());
    RC_ASSERT(ordinary->Bytes() == kMaxBody);
  });
}

TEST_CASE("memory account: a body of maximum size is completed beside stalled "
          "bodies of many clients")
{
  CheckProperty([] {
    FloodWorld world(1);
    const auto clients = *rc::gen::inRange<std::uint64_t>(1, 100);
    for (std::uint64_t client = 1; client <= clients; ++client) {
      world.OpenStalled(client);
    }
    world.Step(3);
    const auto ordinary = world.OpenOrdinary();
    constexpr std::size_t kPacket = 65'536;
    for (std::size_t bytes = kPacket; bytes <= kMaxBody; bytes += kPacket) {
      RC_ASSERT(ordinary->Resize(bytes, world.Now()));
    }
    RC_ASSERT(!ordinary->IsEvicted());
  });
}

} // namespace testing
