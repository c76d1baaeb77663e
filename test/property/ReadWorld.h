#pragma once

#include "VirtualWorld.h"

#include <goldcrestcroft/Membership.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace testing {

/** \brief Hosts that have one table of the store from few readers, on a virtual
 * clock: the store turns hosts away or leaves their calls without an answer
 * while the operator makes changes, and datagrams get lost. */
class ReadWorld : private VirtualWorld
{
public:
  enum class Trouble
  {
    None,
    /** Calls of a share of the hosts fail at once. */
    Refused,
    /** Calls of a share of the hosts get no answer, open ones included. */
    Silent,
    /** The store serves nobody. */
    Down
  };
  struct Options
  {
    std::size_t hosts_ = 30;
    /** Time within which changes are to be in force. */
    goldcrestcroft::Duration bound_ = std::chrono::seconds{ 3 };
    Trouble trouble_ = Trouble::None;
    /** Hosts that the store does not serve; those whose office it is to read
     * are the first of them. */
    double share_ = 0.0;
    /** Whether the hosts that are not served are others every two seconds. */
    bool moves_ = false;
    /** Whether hosts whose views are stale read by themselves. */
    bool standIns_ = true;
    goldcrestcroft::Duration day_ = std::chrono::seconds{ 60 };
    unsigned seed_ = 1;
  };
  struct Outcome
  {
    /** Longest time from a change until a host had it. */
    goldcrestcroft::Duration latest_{};
    /** Changes at hosts later than the bound. */
    std::size_t late_ = 0;
    std::size_t calls_ = 0;
    /** Most calls that began in some second of trouble. */
    std::size_t mostCallsIn1s_ = 0;
    /** Calls of hosts without the office while nothing is wrong. */
    std::size_t needless_ = 0;
  };

  explicit ReadWorld(Options aOptions);
  auto Play() -> Outcome;

private:
  struct Host
  {
    explicit Host(goldcrestcroft::TableWatch aWatch)
      : watch_(std::move(aWatch))
    {
    }

    goldcrestcroft::TableWatch watch_;
    std::uint64_t version_ = 0;
    bool served_ = true;
    bool fetches_ = false;
    /** Of the call or rest under way; one of another number is over. */
    std::uint64_t step_ = 0;
    bool waits_ = false;
    TimePoint sentAt_;
    goldcrestcroft::Duration wait_{};
  };

  [[nodiscard]] auto IsReader(std::size_t aHost) const -> bool;
  [[nodiscard]] auto InTrouble() const -> bool;
  auto Step(std::size_t aHost) -> void;
  auto Call(std::size_t aHost, goldcrestcroft::Duration aWait) -> void;
  auto Answer(std::size_t aHost, std::uint64_t aStep) -> void;
  auto Fail(std::size_t aHost, std::uint64_t aStep) -> void;
  auto Ping(std::size_t aHost) -> void;
  auto Tell(std::size_t aFrom, std::size_t aTo,
            std::function<void()> aThen = {}) -> void;
  auto Hear(std::size_t aHost, std::size_t aFrom, std::uint64_t aVersion,
            std::optional<TimePoint> aAsOf) -> void;
  auto Push(std::size_t aHost) -> void;
  auto Adopt(std::size_t aHost, std::uint64_t aVersion) -> bool;
  auto Change() -> void;
  auto SetServed(bool aTroubled) -> void;

  Options options_;
  TimePoint begin_;
  std::vector<Host> hosts_;
  std::size_t readers_ = 0;
  std::uint64_t version_ = 0;
  std::map<std::uint64_t, TimePoint> changedAt_;
  std::vector<TimePoint> callsAt_;
  Outcome outcome_;
};

} // namespace testing
