#pragma once

#include "VirtualWorld.h"

#include <goldcrestcroft/Membership.h>

#include <map>
#include <optional>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Simulates failure detectors of hosts that are busy: each handles its
 * datagrams and ticks one after another. */
class RestartingFleet : public VirtualWorld
{
public:
  struct Options
  {
    std::size_t hosts_ = 86;
    std::size_t added_ = 16;
    double loss_ = 0.01;
    /** Time that a host needs to handle one datagram. */
    Duration handling_{ 0 };
    /** The same for added hosts. */
    Duration addedHandling_{ 0 };
    Duration restartEvery_ = milliseconds{ 250 };
    Duration down_ = milliseconds{ 1000 };
    unsigned seed_ = 1;
  };

  explicit RestartingFleet(const Options& aOptions)
    : VirtualWorld(aOptions.seed_)
    , options_(aOptions)
    , hosts_(aOptions.hosts_ + aOptions.added_)
  {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      addresses_.push_back("10.0.0." + std::to_string(i) + ":1");
      index_[addresses_.back()] = i;
    }
    std::vector<PeerUpdate> all;
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
      Start(i);
      all.push_back({ .record_ = hosts_[i].detector_->Self() });
    }
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
      hosts_[i].detector_->Learn(all, clock_.Now());
      hosts_[i].detector_->TakeChanges();
    }
  }

  /** Restarts all hosts one after another, while hosts are added. */
  auto RestartAll() -> void
  {
    auto at = Duration{};
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
      at += options_.restartEvery_;
      After(at, [this, i] {
        hosts_[i].detector_.reset();
        After(options_.down_, [this, i] { Start(i); });
      });
    }
    for (std::size_t i = 0; i < options_.added_; ++i) {
      After(at * i / options_.added_ / 2,
            [this, i] { Start(options_.hosts_ + i); });
    }
  }
  auto Run(Duration aTime) -> void { RunUntil(clock_.Now() + aTime); }
  /** The largest number of logged state changes of a host in one second. */
  auto MostChanges() const -> std::size_t
  {
    std::size_t most = 0;
    for (const auto& [key, count] : changes_) {
      most = std::max(most, count);
    }
    return most;
  }
  /** How often a host took another for gone that had run for more than a
   * second. */
  auto WronglyDropped() const -> std::size_t { return wronglyDropped_; }
  auto Datagrams() const -> std::size_t { return datagrams_; }
  /** Pairs of running hosts whose second is unknown to the first. */
  auto Missing() const -> std::size_t
  {
    std::size_t missing = 0;
    std::size_t running = 0;
    for (const auto& host : hosts_) {
      running += host.detector_ ? 1 : 0;
    }
    for (const auto& host : hosts_) {
      if (host.detector_) {
        const auto known = host.detector_->Peers(clock_.Now()).size() + 1;
        missing += running - std::min(running, known);
      }
    }
    return missing;
  }

private:
  struct Host
  {
    std::optional<FailureDetector> detector_;
    Incarnation incarnation_ = 0;
    /** When it has handled all that has arrived. */
    TimePoint busyUntil_;
    TimePoint startedAt_;
  };

  auto Start(std::size_t aHost) -> void
  {
    auto& host = hosts_[aHost];
    ++host.incarnation_;
    host.busyUntil_ = host.startedAt_ = clock_.Now();
    host.detector_.emplace(
      FailureDetector::Options{
        .self_ = { .host_ = { "h" + std::to_string(aHost) },
                   .incarnation_ = host.incarnation_,
                   .peerAddress_ = addresses_[aHost] } },
      random_(), clock_.Now());
    After(Between(0, 100), [this, aHost, incarnation = host.incarnation_] {
      TickAt(aHost, incarnation);
    });
  }
  auto IsRunning(std::size_t aHost, Incarnation aIncarnation) const -> bool
  {
    return hosts_[aHost].detector_ &&
           hosts_[aHost].incarnation_ == aIncarnation;
  }
  auto TickAt(std::size_t aHost, Incarnation aIncarnation) -> void
  {
    if (!IsRunning(aHost, aIncarnation)) {
      return;
    }
    auto& host = hosts_[aHost];
    // During the outage of the store a host has only its seeds, some of which
    // do not exist any more.
    const std::vector<std::string> seeds{ addresses_[1], addresses_[2],
                                          addresses_[aHost % 7] };
    Send(host.detector_->Tick(seeds, clock_.Now()));
    NoteChanges(aHost);
    const auto wait =
      std::max<Duration>(milliseconds{ 100 }, host.busyUntil_ - clock_.Now());
    After(wait, [this, aHost, aIncarnation] { TickAt(aHost, aIncarnation); });
  }
  auto Send(std::vector<FailureDetector::Outgoing> aOut) -> void
  {
    for (auto& [address, message] : aOut) {
      ++datagrams_;
      if (static_cast<double>(Random(1000)) < options_.loss_ * 1000) {
        continue;
      }
      After(Between(0, 2),
            [this, to = index_.at(address), message = std::move(message)] {
              Arrive(to, message);
            });
    }
  }
  auto Arrive(std::size_t aTo, const ProbeMessage& aMessage) -> void
  {
    auto& host = hosts_[aTo];
    if (!host.detector_) {
      return;
    }
    host.busyUntil_ =
      std::max(host.busyUntil_, clock_.Now()) +
      (aTo < options_.hosts_ ? options_.handling_ : options_.addedHandling_);
    After(host.busyUntil_ - clock_.Now(),
          [this, aTo, incarnation = host.incarnation_, aMessage] {
            if (IsRunning(aTo, incarnation)) {
              Handle(aTo, aMessage);
            }
          });
  }
  auto Handle(std::size_t aHost, const ProbeMessage& aMessage) -> void
  {
    auto& detector = *hosts_[aHost].detector_;
    Send(detector.OnMessage(aMessage, clock_.Now()));
    const auto& from = hosts_[index_.at(aMessage.sender_.peerAddress_)];
    if (from.detector_ && detector.IsFarBehind(aMessage.hosts_)) {
      detector.Learn(from.detector_->WholeList(), clock_.Now());
    }
  }
  auto NoteChanges(std::size_t aHost) -> void
  {
    const auto second = clock_.Now().time_since_epoch() / seconds{ 1 };
    for (const auto& change : hosts_[aHost].detector_->TakeChanges()) {
      const auto isNoted = [](const std::optional<PeerState>& aState) {
        return aState && *aState != PeerState::Live;
      };
      if (!isNoted(change.from_) && !isNoted(change.to_)) {
        continue;
      }
      ++changes_[{ aHost, second }];
      const auto& subject = hosts_[std::stoul(change.host_.value_.substr(1))];
      const auto wasUp =
        subject.detector_ && clock_.Now() - subject.startedAt_ > seconds{ 1 };
      wronglyDropped_ += change.to_ == PeerState::Gone && wasUp ? 1 : 0;
    }
  }

  Options options_;
  std::vector<Host> hosts_;
  std::vector<std::string> addresses_;
  std::map<std::string, std::size_t> index_;
  std::map<std::pair<std::size_t, std::int64_t>, std::size_t> changes_;
  std::size_t wronglyDropped_ = 0;
  std::size_t datagrams_ = 0;
};

} // namespace testing
