#include "Property.h"

#include <goldcrestcroft/Staging.h>

#include <map>
#include <set>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

constexpr std::size_t kScheduleLength = 120;
constexpr double kMemoryBytes = 8.0;

/** A stage queue with two engines, one in each zone, driven by a schedule.
 * Checks that each piece of a live order is in exactly one place and that no
 * call exceeds its limits. */
class QueueWorld
{
public:
  auto Step(std::uint16_t aChoice) -> void
  {
    const auto pick = aChoice / 5;
    switch (aChoice % 5) {
      case 0:
        Add(pick);
        break;
      case 1:
      case 2:
        Take(pick);
        break;
      case 3:
        GiveBack(pick);
        break;
      default:
        AdvanceTime(pick);
        break;
    }
    Check();
  }

  [[nodiscard]] auto Violation() const -> const std::string&
  {
    return violation_;
  }

private:
  auto Add(unsigned aPick) -> void
  {
    StageOrder order{ .id_ = ++lastId_,
                      .resultBytes_ = aPick % 3 == 0 ? 2.0 : 0.1,
                      .deadline_ = now_ + milliseconds{ 4000 },
                      .dueAt_ = now_ + milliseconds{ aPick % 2000 },
                      .rank_ = static_cast<int>(aPick % 3),
                      .zone_ = aPick % 2 == 0 ? "z1" : "z2" };
    for (std::uint32_t i = 0; i <= aPick % 7; ++i) {
      order.pieces_.push_back(i);
      waiting_.insert({ .order_ = order.id_, .piece_ = i });
    }
    bytes_[order.id_] = order.resultBytes_;
    queue_.Add(std::move(order), now_);
  }

  auto Take(unsigned aPick) -> void
  {
    const auto taken = queue_.TakeCall({ .zone_ = aPick % 2 == 0 ? "z1" : "z2",
                                         .batch_ = 4,
                                         .freeBytes_ = kMemoryBytes,
                                         .totalBytes_ = kMemoryBytes,
                                         .callTime_ = milliseconds{ 240 } },
                                       { "z1", "z2" }, now_);
    auto bytes = 0.0;
    for (const auto& ticket : taken) {
      bytes += bytes_[ticket.order_];
      if (waiting_.erase(ticket) != 1) {
        violation_ = "a piece was taken that was not waiting";
      }
      inCalls_.push_back(ticket);
    }
    if (taken.size() > 4 || bytes > kMemoryBytes + 1e-9) {
      violation_ = "a call exceeds the capacity of the engine";
    }
  }

  auto GiveBack(unsigned aPick) -> void
  {
    if (inCalls_.empty()) {
      return;
    }
    const auto at =
      inCalls_.begin() + static_cast<std::ptrdiff_t>(aPick % inCalls_.size());
    if (aPick % 4 == 0 && queue_.Find(at->order_) != nullptr) {
      queue_.Return(*at);
      waiting_.insert(*at);
    }
    inCalls_.erase(at);
  }

  auto AdvanceTime(unsigned aPick) -> void
  {
    now_ += milliseconds{ aPick % 700 };
    for (const auto id : queue_.TakeExpired(now_)) {
      std::erase_if(waiting_,
                    [&](const auto& aTicket) { return aTicket.order_ == id; });
    }
  }

  auto Check() -> void
  {
    if (queue_.Waiting() != waiting_.size()) {
      violation_ = "the queue lost or duplicated a piece";
    }
  }

  StageQueue queue_{ StageQueue::Options{} };
  TimePoint now_{ std::chrono::hours{ 1 } };
  std::uint64_t lastId_ = 0;
  std::set<PieceTicket> waiting_;
  std::vector<PieceTicket> inCalls_;
  std::map<std::uint64_t, double> bytes_;
  std::string violation_;
};

} // namespace

TEST_CASE("no piece is lost, duplicated or sent beyond an engine's limits")
{
  CheckProperty([] {
    const auto schedule = *Schedule(kScheduleLength);
    QueueWorld world;
    for (const auto choice : schedule) {
      world.Step(choice);
      RC_ASSERT(world.Violation().empty());
    }
  });
}

TEST_CASE("all pieces of orders on time are eventually taken")
{
  CheckProperty([] {
    StageQueue queue{ StageQueue::Options{} };
    const TimePoint now{ std::chrono::hours{ 1 } };
    const auto sizes = *rc::gen::container<std::vector<std::uint8_t>>(
      20, rc::gen::inRange<std::uint8_t>(1, 12));
    std::size_t expected = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      StageOrder order{ .id_ = i + 1,
                        .resultBytes_ = 1.0,
                        .deadline_ = now + std::chrono::seconds{ 9 },
                        .dueAt_ = now + std::chrono::seconds{ 5 } };
      order.pieces_.resize(sizes[i]);
      expected += sizes[i];
      queue.Add(std::move(order), now);
    }
    // Orders of 7 and more pieces never fit an engine with memory for 6
    // results: they are split and do not block the others.
    std::size_t taken = 0;
    for (auto call = 0; call < 400 && queue.Waiting() > 0; ++call) {
      taken += queue
                 .TakeCall({ .zone_ = "z",
                             .batch_ = 8,
                             .freeBytes_ = 6.0,
                             .totalBytes_ = 6.0,
                             .callTime_ = milliseconds{ 240 } },
                           {}, now)
                 .size();
    }
    RC_ASSERT(taken == expected);
  });
}

} // namespace testing
