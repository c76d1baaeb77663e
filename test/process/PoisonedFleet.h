#pragma once

#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace testing {

/** Hosts in contact with each other know of a crash within this time. */
inline constexpr goldcrestcroft::Duration kContact = std::chrono::seconds{ 3 };
inline constexpr auto kPoison = "a body that ends engines";
inline constexpr auto kOther = "another body";
inline constexpr auto kPlain = "/unsafe/x";

/** \brief Entry hosts in front of engines of a service that crash when they run
 * one particular body. */
class PoisonedFleet
{
public:
  static constexpr std::size_t kEnginesOfEach = 6;

  explicit PoisonedFleet(
    std::size_t aHosts,
    const standins::EngineCrashPlan& aCrash = { .marker_ = kPoison },
    std::string aService = "desk")
    : fleet_(aHosts, { .enginesPerService_ = kEnginesOfEach })
    , service_(std::move(aService))
    , hosts_(aHosts)
  {
    for (const auto& engine : Engines()) {
      engine->CrashOnMarker(aCrash);
    }
    for (std::size_t i = 0; i < hosts_; ++i) {
      REQUIRE(fleet_.AwaitReady(i));
    }
    REQUIRE(fleet_.AwaitDiscovery());
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
  auto Crashes() -> std::size_t
  {
    std::size_t ends = 0;
    for (const auto& engine : Engines()) {
      ends += engine->Crashes().size();
    }
    return ends;
  }
  /** \brief Sends that reached engines after aMoment; tests that use this
   * send no requests but the poison request. */
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
  /** \brief Sends copies until aCrashes crashes of engines have occurred in
   * all, each copy once the engines have started again. */
  template<typename Sender>
  auto CrashEngines(std::size_t aCrashes, Sender aSendCopy) -> void
  {
    for (auto left = aCrashes; left > 0 && Crashes() < aCrashes; --left) {
      aSendCopy();
      AwaitStarted();
    }
    REQUIRE(Crashes() >= aCrashes);
  }
  auto AwaitStarted() -> void
  {
    REQUIRE(EntryFleet::Await([&] {
      return std::none_of(
        Engines().begin(), Engines().end(),
        [](const auto& aEach) { return aEach->IsUnavailable(); });
    }));
  }
  /** \brief Waits until hosts that are in contact from now on know everything
   * that has happened so far; returns the time then. */
  static auto AwaitContact() -> goldcrestcroft::TimePoint
  {
    const goldcrestcroft::SuspendAwareClock clock;
    const auto until = clock.Now() + kContact;
    REQUIRE(EntryFleet::Await([&] { return clock.Now() > until; }));
    return clock.Now();
  }
  /** \brief Checks that copies at each host are refused and not sent to
   * engines, and that other requests are served. */
  auto CheckQuarantined(const std::vector<std::size_t>& aHosts) -> void
  {
    constexpr auto kCopies = 4;
    const auto from = goldcrestcroft::SuspendAwareClock{}.Now();
    for (auto i = 0; i < kCopies; ++i) {
      for (const auto host : aHosts) {
        CAPTURE(host);
        const auto response = Send(host);
        CHECK(response.status_ == 503);
        AwaitStarted();
      }
    }
    CHECK(SendsAfter(from) == 0);
    for (const auto host : aHosts) {
      CHECK(Send(host, kOther).status_ == 200);
    }
  }
  auto SetFaultMode(standins::EngineStandin::Trouble aTrouble) -> void
  {
    fleet_.Platform().SetFaultMode(service_, aTrouble);
  }

private:
  EntryFleet fleet_;
  std::string service_;
  std::size_t hosts_;
};

} // namespace testing
