#pragma once

#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace testing {

/** Hosts in touch know of an end this long after it. */
inline constexpr goldcrestcroft::Duration kContact = std::chrono::seconds{ 3 };
inline constexpr auto kPoison = "a body that ends engines";
inline constexpr auto kOther = "another body";
inline constexpr auto kPlain = "/unsafe/x";

/** \brief Hosts before engines of a service that end under one body. */
class PoisonedFleet
{
public:
  static constexpr std::size_t kEnginesOfEach = 6;

  explicit PoisonedFleet(
    std::size_t aHosts,
    const standins::EngineEnding& aEnding = { .marker_ = kPoison },
    std::string aService = "desk")
    : fleet_(aHosts, { .enginesOfEach_ = kEnginesOfEach })
    , service_(std::move(aService))
    , hosts_(aHosts)
  {
    for (const auto& engine : Engines()) {
      engine->EndUnder(aEnding);
    }
    for (std::size_t i = 0; i < hosts_; ++i) {
      REQUIRE(fleet_.AwaitReady(i));
    }
    REQUIRE(fleet_.AwaitAcquainted());
  }

  auto Fleet() -> EntryFleet& { return fleet_; }
  auto Engines() -> std::vector<std::unique_ptr<standins::EngineStandin>>&
  {
    return fleet_.Platform().Engines(service_);
  }
  auto Send(std::size_t aHost, const std::string& aBody = kPoison,
            const std::string& aTarget = kPlain) -> CallerResponse
  {
    return fleet_.Call(
      aHost, { .method_ = "POST", .target_ = aTarget, .body_ = aBody });
  }
  auto Ends() -> std::size_t
  {
    std::size_t ends = 0;
    for (const auto& engine : Engines()) {
      ends += engine->Ends().size();
    }
    return ends;
  }
  /** \brief Sends that reached engines after a moment; there are no others
   * than those of the poison. */
  auto SendsAfter(goldcrestcroft::TimePoint aMoment) -> std::size_t
  {
    std::size_t sends = 0;
    for (const auto& engine : Engines()) {
      const auto arrivals = engine->Arrivals();
      sends += static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](const auto& aEach) { return aEach.at_ > aMoment; }));
    }
    return sends;
  }
  /** \brief Sends copies until so many engines have ended in all, each copy
   * once the engines have started again. */
  template<typename Sender>
  auto EndEngines(std::size_t aEnds, Sender aSendCopy) -> void
  {
    for (auto left = aEnds; left > 0 && Ends() < aEnds; --left) {
      aSendCopy();
      AwaitStarted();
    }
    REQUIRE(Ends() >= aEnds);
  }
  auto AwaitStarted() -> void
  {
    REQUIRE(EntryFleet::Await([&] {
      return std::none_of(Engines().begin(), Engines().end(),
                          [](const auto& aEach) { return aEach->IsAway(); });
    }));
  }
  /** \brief Waits until hosts that were in touch from now on know all; returns
   * that moment. */
  static auto AwaitContact() -> goldcrestcroft::TimePoint
  {
    const goldcrestcroft::SuspendAwareClock clock;
    const auto until = clock.Now() + kContact;
    REQUIRE(EntryFleet::Await([&] { return clock.Now() > until; }));
    return clock.Now();
  }
  /** \brief Some copies at each host are refused and not sent, and others are
   * served. */
  auto CheckHeldBack(const std::vector<std::size_t>& aHosts) -> void
  {
    constexpr auto kCopies = 4;
    const auto from = goldcrestcroft::SuspendAwareClock{}.Now();
    for (auto i = 0; i < kCopies; ++i) {
      for (const auto host : aHosts) {
        CAPTURE(host);
        const auto answer = Send(host);
        CHECK(answer.status_ == 503);
        AwaitStarted();
      }
    }
    CHECK(SendsAfter(from) == 0);
    for (const auto host : aHosts) {
      CHECK(Send(host, kOther).status_ == 200);
    }
  }
  auto SetTrouble(standins::EngineStandin::Trouble aTrouble) -> void
  {
    fleet_.Platform().SetTrouble(service_, aTrouble);
  }

private:
  EntryFleet fleet_;
  std::string service_;
  std::size_t hosts_;
};

} // namespace testing
