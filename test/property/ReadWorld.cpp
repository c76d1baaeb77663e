#include "ReadWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

/** As ControlPlane and FailureDetector have them. */
constexpr std::size_t kSmallFleet = 12;
constexpr std::size_t kReaders = 4;
constexpr auto kPing = milliseconds{ 200 };
constexpr std::size_t kFanOut = 3;
constexpr auto kFetchTimeout = milliseconds{ 800 };
constexpr auto kAnswerTimeout = milliseconds{ 1500 };
constexpr auto kReaderPause = milliseconds{ 200 };
constexpr std::size_t kLossPerMille = 15;
/** When the trouble begins and ends, as parts of the day. */
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
    // No view of such hosts is ever stale.
    constexpr auto kNever = 1e6;
    TableWatch::Options watch{ .bound_ = options_.bound_ };
    watch.staleShare_ = options_.standIns_ ? watch.staleShare_ : kNever;
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

auto ReadWorld::InTrouble() const -> bool
{
  const auto at = clock_.Now() - begin_;
  return options_.trouble_ != Trouble::None && at >= options_.day_ / kBegins &&
         at < options_.day_ / kEnds;
}

auto ReadWorld::Play() -> Outcome
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    After(Between(0, 500), [this, i] { Step(i); });
    After(Between(0, 200), [this, i] { Ping(i); });
  }
  After(milliseconds{ 3000 }, [this] { Change(); });
  After(options_.day_ / kBegins, [this] { SetServed(true); });
  After(options_.day_ / kEnds, [this] { SetServed(false); });
  RunUntil(begin_ + options_.day_);
  outcome_.calls_ = callsAt_.size();
  std::size_t first = 0;
  for (std::size_t i = 0; i < callsAt_.size(); ++i) {
    while (callsAt_[i] - callsAt_[first] >= std::chrono::seconds{ 1 }) {
      ++first;
    }
    outcome_.mostCallsIn1s_ = std::max(outcome_.mostCallsIn1s_, i - first + 1);
  }
  return outcome_;
}

auto ReadWorld::SetServed(bool aTroubled) -> void
{
  const auto unserved = static_cast<std::size_t>(
    options_.share_ * static_cast<double>(hosts_.size()));
  const auto from = options_.moves_ ? Random(hosts_.size()) : 0;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const auto place = (i + hosts_.size() - from) % hosts_.size();
    auto& host = hosts_[i];
    host.served_ = !aTroubled || place >= unserved;
    if (!host.served_ && host.waits_ && options_.trouble_ != Trouble::Silent) {
      Fail(i, host.step_);
    }
  }
  if (options_.moves_ && InTrouble()) {
    After(milliseconds{ 2000 }, [this] {
      if (InTrouble()) {
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
  outcome_.needless_ +=
    !IsReader(aHost) && options_.trouble_ == Trouble::None ? 1 : 0;
  host.sentAt_ = clock_.Now();
  host.wait_ = aWait;
  const auto number = host.step_;
  if (!host.served_ && options_.trouble_ != Trouble::Silent) {
    After(Between(2, 20), [this, aHost, number] { Fail(aHost, number); });
    return;
  }
  host.waits_ = true;
  const auto late = host.version_ < version_;
  After((late ? Duration{} : aWait) + Between(5, 40),
        [this, aHost, number] { Answer(aHost, number); });
  // Given up once the view is stale, or too late for any answer.
  After(aWait + kAnswerTimeout, [this, aHost, number] { Fail(aHost, number); });
}

auto ReadWorld::Answer(std::size_t aHost, std::uint64_t aStep) -> void
{
  auto& host = hosts_[aHost];
  if (host.step_ != aStep || !host.served_) {
    return;
  }
  host.waits_ = false;
  const auto news = Adopt(aHost, version_);
  const auto renewed =
    host.watch_.OnAnswered(host.sentAt_, host.wait_, clock_.Now());
  if (news || renewed || options_.hosts_ > kSmallFleet) {
    Push(aHost);
  }
  ++host.step_;
  const auto number = host.step_;
  const auto rest = aHost < readers_
                      ? kReaderPause * std::min<int>(static_cast<int>(aHost), 4)
                      : kReaderPause;
  After(rest, [this, aHost, number] {
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
  // A call whose answer would come too late is given up.
  if (host.waits_ && host.watch_.IsOverdue(host.sentAt_, clock_.Now())) {
    Fail(aHost, host.step_);
  }
  if (hosts_.size() > 1) {
    const auto to = (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size();
    Tell(aHost, to, [this, aHost, to] { Tell(to, aHost); });
  }
  After(kPing, [this, aHost] { Ping(aHost); });
}

auto ReadWorld::Tell(std::size_t aFrom, std::size_t aTo,
                     std::function<void()> aThen) -> void
{
  if (Random(1000) < kLossPerMille) {
    return;
  }
  const auto& from = hosts_[aFrom];
  After(Between(1, 60), [this, aFrom, aTo, version = from.version_,
                         asOf = from.watch_.AsOf(), then = std::move(aThen)] {
    Hear(aTo, aFrom, version, asOf);
    if (then) {
      then();
    }
  });
}

auto ReadWorld::Hear(std::size_t aHost, std::size_t aFrom,
                     std::uint64_t aVersion, std::optional<TimePoint> aAsOf)
  -> void
{
  auto& host = hosts_[aHost];
  if (aVersion > host.version_) {
    if (host.fetches_) {
      return;
    }
    host.fetches_ = true;
    const auto lost = Random(1000) < kLossPerMille;
    After(lost ? kFetchTimeout : Between(10, 120), [this, aHost, aFrom, lost] {
      auto& asker = hosts_[aHost];
      asker.fetches_ = false;
      const auto& teller = hosts_[aFrom];
      if (lost) {
        return;
      }
      const auto news = Adopt(aHost, teller.version_);
      const auto asOf = teller.watch_.AsOf();
      const auto renewed = asOf && asker.watch_.OnWord(*asOf, clock_.Now());
      if (news || renewed) {
        Push(aHost);
      }
    });
    return;
  }
  if (aAsOf && host.watch_.OnWord(*aAsOf, clock_.Now())) {
    Push(aHost);
  }
}

auto ReadWorld::Push(std::size_t aHost) -> void
{
  for (std::size_t i = 0; i < kFanOut && hosts_.size() > 1; ++i) {
    Tell(aHost, (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size());
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
  if (clock_.Now() + 2 * options_.bound_ > begin_ + options_.day_) {
    return;
  }
  // Where the store serves nobody, the operator is not answered either.
  if (!(InTrouble() && options_.trouble_ == Trouble::Down)) {
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
