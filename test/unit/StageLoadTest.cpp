#include <doctest/doctest.h>
#include <goldcrestcroft/Staging.h>

#include <map>
#include <numeric>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Outcome of the requests of one kind. */
struct KindOutcome
{
  double requested_ = 0.0;
  double inTime_ = 0.0;
  double refused_ = 0.0;

  [[nodiscard]] auto Share() const -> double { return inTime_ / requested_; }
};

struct Kind
{
  int rank_ = 0;
  Duration objective_{};
  double perSecond_ = 0.0;
};

/** One stage service under a Poisson load, on a virtual clock. */
class StageLoad
{
public:
  static constexpr std::uint32_t kPieces = 4;
  static constexpr ServiceRate::Plan kPlan{ .engines_ = 4,
                                            .batch_ = 20,
                                            .callTime_ = milliseconds{ 240 },
                                            .pieceTime_ = milliseconds{ 5 } };

  /** \brief Requests per second that the engines can serve with full calls. */
  static auto Capacity() -> double
  {
    const std::chrono::duration<double> call =
      kPlan.callTime_ + kPlan.pieceTime_ * kPlan.batch_;
    return static_cast<double>(kPlan.engines_ * kPlan.batch_) / call.count() /
           kPieces;
  }

  /** \brief Without aUsesPolicy, orders are served first come, first served and
   * none is refused. */
  StageLoad(std::vector<Kind> aKinds, bool aUsesPolicy)
    : kinds_(std::move(aKinds))
    , outcomes_(kinds_.size())
    , usesPolicy_(aUsesPolicy)
    , freeAt_(kPlan.engines_, kStart)
  {
  }

  auto Run(Duration aLength) -> const std::vector<KindOutcome>&
  {
    constexpr Duration kStep = milliseconds{ 5 };
    for (now_ = kStart; now_ < kStart + aLength; now_ += kStep) {
      for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
        const std::chrono::duration<double> step = kStep;
        std::poisson_distribution<int> count(kinds_[kind].perSecond_ *
                                             step.count());
        for (auto left = count(random_); left > 0; --left) {
          Arrive(kind);
        }
      }
      for (const auto id : queue_.TakeExpired(now_)) {
        open_.erase(id);
      }
      for (auto& freeAt : freeAt_) {
        if (freeAt <= now_) {
          freeAt = Call();
        }
      }
    }
    return outcomes_;
  }

private:
  struct Open
  {
    std::size_t kind_ = 0;
    TimePoint arrivedAt_;
    std::uint32_t left_ = kPieces;
  };

  auto Arrive(std::size_t aKind) -> void
  {
    const auto& kind = kinds_[aKind];
    auto& outcome = outcomes_[aKind];
    ++outcome.requested_;
    // Without the policy all wait equally long and no order is abandoned.
    const Duration maxWait = usesPolicy_ ? kind.objective_ : seconds{ 60 };
    const auto due = now_ + maxWait - StageAdmission{}.firstEvent_;
    rate_.OnWaiting(queue_.Waiting() > 0, now_);
    const auto before =
      static_cast<double>(queue_.CountBefore(kind.rank_, due, now_));
    const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(before / rate_.PerSecond(kPlan, now_)));
    const ChainForecast forecast{ .total_ = wait + kPlan.callTime_ +
                                            kPlan.pieceTime_ * kPieces,
                                  .waiting_ = wait };
    if (usesPolicy_ &&
        !StageAdmission{}.Admits(forecast, kind.objective_, kind.rank_)) {
      ++outcome.refused_;
      return;
    }
    StageOrder order{ .id_ = ++lastId_,
                      .service_ = "s",
                      .deadline_ = now_ + seconds{ 120 },
                      .dueAt_ = due,
                      .rank_ = usesPolicy_ ? kind.rank_ : 0 };
    order.pieces_.resize(kPieces);
    std::iota(order.pieces_.begin(), order.pieces_.end(), 0U);
    queue_.Add(std::move(order), now_);
    open_[lastId_] = { .kind_ = aKind, .arrivedAt_ = now_ };
  }

  /** When the engine is free again. */
  auto Call() -> TimePoint
  {
    const auto tickets = queue_.TakeCall(
      { .zone_ = "z", .batch_ = kPlan.batch_, .callTime_ = kPlan.callTime_ },
      { "z" }, now_);
    if (tickets.empty()) {
      return now_;
    }
    const auto pieces = static_cast<Duration::rep>(tickets.size());
    const auto end = now_ + kPlan.callTime_ + kPlan.pieceTime_ * pieces;
    for (const auto& ticket : tickets) {
      rate_.OnProduced(now_);
      auto& open = open_.at(ticket.order_);
      const auto took = end - open.arrivedAt_ + StageAdmission{}.firstEvent_;
      if (--open.left_ == 0) {
        auto& outcome = outcomes_[open.kind_];
        outcome.inTime_ += took <= kinds_[open.kind_].objective_ ? 1.0 : 0.0;
        open_.erase(ticket.order_);
        queue_.Cancel(ticket.order_);
      }
    }
    return end;
  }

  static constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

  std::vector<Kind> kinds_;
  std::vector<KindOutcome> outcomes_;
  bool usesPolicy_;
  std::vector<TimePoint> freeAt_;
  StageQueue queue_{ {} };
  ServiceRate rate_;
  RandomEngine random_{ 7 };
  TimePoint now_;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, Open> open_;
};

auto KindsAt(double aLoad) -> std::vector<Kind>
{
  const auto each = StageLoad::Capacity() * aLoad / 2.0;
  return {
    { .rank_ = 0, .objective_ = milliseconds{ 1500 }, .perSecond_ = each },
    { .rank_ = 2, .objective_ = milliseconds{ 2700 }, .perSecond_ = each }
  };
}

auto InTime(const std::vector<KindOutcome>& aKinds) -> double
{
  return aKinds[0].inTime_ + aKinds[1].inTime_;
}

} // namespace

TEST_CASE("load: below capacity, all requests are on time and none is refused")
{
  StageLoad load(KindsAt(0.6), true);
  for (const auto& kind : load.Run(seconds{ 20 })) {
    CAPTURE(kind.inTime_);
    CHECK(kind.refused_ == 0.0);
    // Requests that are still running at the end do not count as on time.
    CHECK(kind.Share() > 0.9);
  }
}

TEST_CASE("load: under overload, most admitted requests are on time")
{
  for (const auto times : { 1.2, 1.5, 2.0 }) {
    StageLoad load(KindsAt(times), true);
    const auto kinds = load.Run(seconds{ 20 });
    const auto admitted = kinds[0].requested_ + kinds[1].requested_ -
                          kinds[0].refused_ - kinds[1].refused_;
    CAPTURE(times);
    CAPTURE(InTime(kinds));
    CAPTURE(admitted);
    // A response on time is worth more than six late ones to the callers, so at
    // most one in five may be late or still running at the end.
    CHECK(InTime(kinds) >= 0.8 * admitted);
  }
}

TEST_CASE("load: at twice the capacity, most capacity serves requests on time")
{
  constexpr auto kLength = seconds{ 20 };
  StageLoad withPolicy(KindsAt(2.0), true);
  StageLoad fifo(KindsAt(2.0), false);
  const auto kinds = withPolicy.Run(kLength);
  const auto baseline = InTime(fifo.Run(kLength));
  const auto bound =
    StageLoad::Capacity() * static_cast<double>(kLength.count());
  CAPTURE(InTime(kinds));
  CAPTURE(baseline);
  CAPTURE(bound);
  CAPTURE(kinds[0].Share());
  CAPTURE(kinds[1].Share());
  // A clairvoyant scheduler would fill every call with orders that are on time.
  CHECK(InTime(kinds) >= 0.7 * bound);
  CHECK(InTime(kinds) > 2.0 * baseline);
  // The share of the more urgent kind may be at most 5 percentage points below
  // that of the less urgent kind, which is what the operator allows.
  CHECK(kinds[0].Share() >= kinds[1].Share() - 0.05);
  // The less urgent kind is not starved: it gets at least a quarter of the
  // overall share.
  const auto all = InTime(kinds) / (kinds[0].requested_ + kinds[1].requested_);
  CHECK(kinds[1].Share() >= 0.25 * all);
}

TEST_CASE("a batch coordinator that has just started uses the planned rate "
          "of its engines, since it has no measurements")
{
  VirtualClock clock;
  ServiceRate rate;
  const ServiceRate::Plan plan{ .engines_ = 4,
                                .batch_ = 20,
                                .callTime_ = milliseconds{ 240 },
                                .pieceTime_ = milliseconds{ 5 } };
  rate.OnWaiting(true, clock.Now()); // It starts during a burst.
  CHECK(rate.PerSecond(plan, clock.Now()) > 100.0);
}

TEST_CASE("half of the requests of the least urgent rank are admitted like "
          "the most urgent ones")
{
  const StageAdmission admission;
  const ChainForecast forecast{ .total_ = milliseconds{ 1100 },
                                .waiting_ = milliseconds{ 500 } };
  const auto objective = milliseconds{ 1700 };
  auto admitted = 0;
  for (std::uint64_t number = 0; number < 100; ++number) {
    const auto rank = admission.AdmissionRank(2, number);
    admitted += admission.Admits(forecast, objective, rank) ? 1 : 0;
  }
  CHECK_FALSE(admission.Admits(forecast, objective, 2));
  CHECK(admitted == 50);
  CHECK(admission.AdmissionRank(0, 1) == 0);
  CHECK(admission.AdmissionRank(0, 2) == 0);
}

} // namespace testing
