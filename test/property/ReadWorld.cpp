#include "ReadWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

/** The same values as in ControlPlane and FailureDetector. */
constexpr std::size_t kSmallFleet = 12;
constexpr std::size_t kReaders = 4;
constexpr auto kPing = milliseconds{ 200 };
constexpr std::size_t kFanOut = 3;
constexpr auto kFetchTimeout = milliseconds{ 800 };
constexpr auto kAnswerTimeout = milliseconds{ 1500 };
constexpr auto kReaderPause = milliseconds{ 200 };
constexpr std::size_t kLossPerMille = 15;
/** The fault begins and ends at the duration divided by these. */
constexpr auto kBegins = 4;
constexpr auto kEnds = 2;

} // namespace

ReadWorld::ReadWorld(Options aOptions)
  : VirtualWorld(aOptions.seed_)
  , options_(aOptions)
  , begin_(clock_.Now())
  , readers_(aOptions.hosts_ <= kSmallFleet ? aOptions.hosts_ : kReaders)
{
  for (std::size_t i = 0; i < options_.hosts_; ++i) {
    // With this share no view ever becomes stale.
    constexpr auto kNever = 1e6;
    TableWatch::Options watch{ .bound_ = options_.bound_ };
    watch.staleShare_ = options_.substitutes_ ? watch.staleShare_ : kNever;
    hosts_.emplace_back(TableWatch(watch, options_.seed_ * 1000 + i));
    hosts_.back().watch_.SetPlace(
      { .hosts_ = options_.hosts_, .ahead_ = i, .reads_ = IsReader(i) });
    hosts_.back().watch_.OnAnswered(begin_, {}, begin_);
  }
}

auto ReadWorld::IsReader(std::size_t aHost) const -> bool
{
  return aHost < readers_;
}

auto ReadWorld::IsFaultActive() const -> bool
{
  const auto at = clock_.Now() - begin_;
  return options_.fault_ != StoreFault::None &&
         at >= options_.duration_ / kBegins && at < options_.duration_ / kEnds;
}

auto ReadWorld::Simulate() -> Outcome
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    After(Between(0, 500), [this, i] { Step(i); });
    After(Between(0, 200), [this, i] { Ping(i); });
  }
  After(milliseconds{ 3000 }, [this] { Change(); });
  After(options_.duration_ / kBegins, [this] { SetServed(true); });
  After(options_.duration_ / kEnds, [this] { SetServed(false); });
  RunUntil(begin_ + options_.duration_);
  outcome_.calls_ = callsAt_.size();
  std::size_t first = 0;
  for (std::size_t i = 0; i < callsAt_.size(); ++i) {
    while (callsAt_[i] - callsAt_[first] >= std::chrono::seconds{ 1 }) {
      ++first;
    }
    outcome_.maxCallsIn1s_ = std::max(outcome_.maxCallsIn1s_, i - first + 1);
  }
  return outcome_;
}

auto ReadWorld::SetServed(bool aFaulty) -> void
{
  const auto unserved = static_cast<std::size_t>(
    options_.share_ * static_cast<double>(hosts_.size()));
  const auto from = options_.rotates_ ? Random(hosts_.size()) : 0;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto position = (i + hosts_.size() - from) % hosts_.size();
    auto& host = hosts_[i];
    host.served_ = !aFaulty || position >= unserved;
    if (!host.served_ && host.waits_ && options_.fault_ != StoreFault::Silent) {
      Fail(i, host.step_);
    }
  }
  if (options_.rotates_ && IsFaultActive()) {
    After(milliseconds{ 2000 }, [this] {
      if (IsFaultActive()) {
        SetServed(true);
      }
    });
  }
}

auto ReadWorld::Step(std::size_t aHost) -> void
{
  auto& host = hosts_[aHost];
  const auto number = ++host.step_;
  const auto step = host.watch_.Next(clock_.Now());
  if (step.reads_) {
    Call(aHost, step.time_);
    return;
  }
  After(std::min<Duration>(step.time_, milliseconds{ 500 }),
        [this, aHost, number] {
          if (hosts_[aHost].step_ == number) {
            Step(aHost);
          }
        });
}

auto ReadWorld::Call(std::size_t aHost, Duration aWait) -> void
{
  auto& host = hosts_[aHost];
  callsAt_.push_back(clock_.Now());
  outcome_.nonReaderCalls_ +=
    !IsReader(aHost) && options_.fault_ == StoreFault::None ? 1 : 0;
  host.sentAt_ = clock_.Now();
  host.wait_ = aWait;
  const auto number = host.step_;
  if (!host.served_ && options_.fault_ != StoreFault::Silent) {
    After(Between(2, 20), [this, aHost, number] { Fail(aHost, number); });
    return;
  }
  host.waits_ = true;
  const auto late = host.version_ < version_;
  After((late ? Duration{} : aWait) + Between(5, 40),
        [this, aHost, number] { Answer(aHost, number); });
  // Abandoned once the view is stale, or when any reply would be too late.
  After(aWait + kAnswerTimeout, [this, aHost, number] { Fail(aHost, number); });
}

auto ReadWorld::Answer(std::size_t aHost, std::uint64_t aStep) -> void
{
  auto& host = hosts_[aHost];
  if (host.step_ != aStep || !host.served_) {
    return;
  }
  host.waits_ = false;
  const auto adopted = Adopt(aHost, version_);
  const auto renewed =
    host.watch_.OnAnswered(host.sentAt_, host.wait_, clock_.Now());
  if (adopted || renewed || options_.hosts_ > kSmallFleet) {
    Push(aHost);
  }
  ++host.step_;
  const auto number = host.step_;
  const auto delay =
    aHost < readers_ ? kReaderPause * std::min<int>(static_cast<int>(aHost), 4)
                     : kReaderPause;
  After(delay, [this, aHost, number] {
    if (hosts_[aHost].step_ == number) {
      Step(aHost);
    }
  });
}

auto ReadWorld::Fail(std::size_t aHost, std::uint64_t aStep) -> void
{
  auto& host = hosts_[aHost];
  if (host.step_ != aStep) {
    return;
  }
  host.waits_ = false;
  host.watch_.OnFailed(clock_.Now());
  Step(aHost);
}

auto ReadWorld::Ping(std::size_t aHost) -> void
{
  auto& host = hosts_[aHost];
  // A call whose reply would come too late is abandoned.
  if (host.waits_ && host.watch_.IsOverdue(host.sentAt_, clock_.Now())) {
    Fail(aHost, host.step_);
  }
  if (hosts_.size() > 1) {
    const auto to = (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size();
    SendView(aHost, to, [this, aHost, to] { SendView(to, aHost); });
  }
  After(kPing, [this, aHost] { Ping(aHost); });
}

auto ReadWorld::SendView(std::size_t aFrom, std::size_t aTo,
                         std::function<void()> aThen) -> void
{
  if (Random(1000) < kLossPerMille) {
    return;
  }
  const auto& from = hosts_[aFrom];
  After(Between(1, 60), [this, aFrom, aTo, version = from.version_,
                         asOf = from.watch_.AsOf(), then = std::move(aThen)] {
    ReceiveView(aTo, aFrom, version, asOf);
    if (then) {
      then();
    }
  });
}

auto ReadWorld::ReceiveView(std::size_t aHost, std::size_t aFrom,
                            std::uint64_t aVersion,
                            std::optional<TimePoint> aAsOf) -> void
{
  auto& host = hosts_[aHost];
  if (aVersion > host.version_) {
    if (host.fetches_) {
      return;
    }
    host.fetches_ = true;
    const auto lost = Random(1000) < kLossPerMille;
    After(lost ? kFetchTimeout : Between(10, 120), [this, aHost, aFrom, lost] {
      auto& receiver = hosts_[aHost];
      receiver.fetches_ = false;
      const auto& sender = hosts_[aFrom];
      if (lost) {
        return;
      }
      const auto adopted = Adopt(aHost, sender.version_);
      const auto asOf = sender.watch_.AsOf();
      const auto renewed =
        asOf && receiver.watch_.OnPeerView(*asOf, clock_.Now());
      if (adopted || renewed) {
        Push(aHost);
      }
    });
    return;
  }
  if (aAsOf && host.watch_.OnPeerView(*aAsOf, clock_.Now())) {
    Push(aHost);
  }
}

auto ReadWorld::Push(std::size_t aHost) -> void
{
  for (std::size_t i = 0; i < kFanOut && hosts_.size() > 1; ++i) {
    SendView(aHost, (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size());
  }
}

auto ReadWorld::Adopt(std::size_t aHost, std::uint64_t aVersion) -> bool
{
  auto& host = hosts_[aHost];
  if (aVersion <= host.version_) {
    return false;
  }
  for (auto version = host.version_ + 1; version <= aVersion; ++version) {
    const auto took = clock_.Now() - changedAt_[version];
    outcome_.latest_ = std::max<Duration>(outcome_.latest_, took);
    outcome_.late_ += took > options_.bound_ ? 1 : 0;
  }
  host.version_ = aVersion;
  return true;
}

auto ReadWorld::Change() -> void
{
  if (clock_.Now() + 2 * options_.bound_ > begin_ + options_.duration_) {
    return;
  }
  // If the store serves nobody, it does not answer the operator either.
  if (!(IsFaultActive() && options_.fault_ == StoreFault::Down)) {
    changedAt_[++version_] = clock_.Now();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].waits_ && hosts_[i].served_) {
        After(Between(5, 40),
              [this, i, number = hosts_[i].step_] { Answer(i, number); });
      }
    }
  }
  After(Between(200, 5000), [this] { Change(); });
}

} // namespace testing
