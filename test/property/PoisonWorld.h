#pragma once

#include "SuspectHost.h"
#include "VirtualWorld.h"

#include <map>
#include <set>

namespace testing {

/** \brief Simulates hosts and engines on a virtual clock. Engines crash alone
 * and in waves, hosts restart, and a few poison requests, or all requests with
 * one of a few parts of a prompt, crash each engine that runs them. */
class PoisonWorld : private VirtualWorld
{
public:
  struct Options
  {
    std::size_t hosts_ = 8;
    std::size_t engines_ = 12;
    std::size_t slots_ = 64;
    /** `contact_ms` of the site. */
    goldcrestcroft::Duration contact_ = std::chrono::seconds{ 3 };
    goldcrestcroft::Duration day_ = std::chrono::seconds{ 60 };
    unsigned seed_ = 1;
    /** Requests with a crashing part each second; without any, requests have no
     * prompt. */
    double crashingPerSecond_ = 0.0;
    /** Whether engines begin to respond before a part crashes them. */
    bool respondsFirst_ = true;
  };
  struct Outcome
  {
    /** Maximum over the poison requests of the sends that come later than
     * contact_ after the third crash, by hosts that have run for at least
     * contact_. */
    std::size_t lateSends_ = 0;
    /** Engine crashes that the poison requests caused. */
    std::size_t crashes_ = 0;
    /** The same for the crashing parts, after the fifth crash. */
    std::size_t latePartSends_ = 0;
    std::size_t partCrashes_ = 0;
    std::size_t requests_ = 0;
    std::size_t runsLost_ = 0;
    std::size_t harmlessRejected_ = 0;
    /** Those of them that were rejected for a part of their prompt. */
    std::size_t rejectedForPart_ = 0;
    std::size_t datagrams_ = 0;
  };

  explicit PoisonWorld(Options aOptions);
  auto Play() -> Outcome;

private:
  struct Host
  {
    std::string id_;
    TimePoint startedAt_;
    std::optional<SuspectHost> suspects_;
  };
  struct Call
  {
    std::uint64_t request_ = 0;
    std::size_t host_ = 0;
    /** Remaining sends of the host, and remaining retries of the caller. */
    std::size_t sendsLeft_ = 2;
    std::size_t retriesLeft_ = 1;
    /** Parts of the prompt that others may share. */
    std::vector<std::uint64_t> parts_;
  };
  struct Run
  {
    Call call_;
    WorldRun run_;
  };
  struct Engine
  {
    bool alive_ = true;
    std::uint64_t start_ = 0;
    std::map<std::uint64_t, Run> runs_;
  };
  struct Poison
  {
    /** Number of crashes after which late sends are counted. */
    std::size_t countedCrashes_ = 3;
    std::size_t crashes_ = 0;
    /** When the last of countedCrashes_ crashes occurred. */
    TimePoint reachedAt_;
    std::size_t lateSends_ = 0;
  };

  auto LiveHost() -> std::size_t;

  auto Arrive() -> void;
  auto PickHarmless() -> std::uint64_t;
  auto PickParts() -> std::vector<std::uint64_t>;
  /** \brief What in the request crashes engines; nullptr if nothing does. */
  auto CauseOf(const Call& aCall) -> Poison*;
  auto IsQuarantined(const Host& aHost, const Call& aCall) const -> bool;
  /** \brief Whether a run that is lost before it proves its parts is lost after
   * the engine has begun to respond; seldom unless it causes the crash. */
  auto IsLostResponding(const Poison* aCause) -> bool;
  auto ProveParts(std::size_t aEngine, std::uint64_t aRun) -> void;
  auto StartCrashingParts() -> void;
  auto CallCrashingPart(std::size_t aNumber) -> void;
  auto Send(Call aCall) -> void;
  auto Complete(std::size_t aEngine, std::uint64_t aRun) -> void;
  auto StopEngine(std::size_t aEngine, Duration aDowntime) -> void;
  auto Lose(const Run& aRun) -> void;
  auto Flap(std::size_t aEngine) -> void;
  auto Wave() -> void;
  auto CallPoison(std::uint64_t aPoison) -> void;
  auto Crash(std::size_t aEngine, std::uint64_t aRun) -> void;

  auto TickHost(std::size_t aHost, std::string aId) -> void;
  auto Deliver(std::size_t aFrom, std::vector<SuspectHost::Outgoing> aOut)
    -> void;
  auto StartHost(std::size_t aHost) -> void;
  auto RestartSome() -> void;
  auto PublishHosts() -> void;

  Options options_;
  TimePoint end_;
  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> hostOf_;
  std::vector<Engine> engines_;
  std::map<std::uint64_t, Poison> poisons_;
  std::map<std::uint64_t, Poison> crashingParts_;
  Outcome outcome_;
};

} // namespace testing
