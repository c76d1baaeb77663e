#pragma once

#include "VirtualWorld.h"

#include <goldcrestcroft/Membership.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace testing {

/** \brief Simulates hosts on a virtual clock that get one table of the store
 * from few readers: the store refuses hosts or leaves their calls without a
 * reply while the operator makes changes, and datagrams get lost. */
class ReadWorld : private VirtualWorld
{
public:
  enum class StoreFault
  {
    None,
    /** Calls of a share of the hosts fail at once. */
    Refused,
    /** Calls of a share of the hosts get no reply, calls in flight included. */
    Silent,
    /** The store serves nobody. */
    Down
  };
  struct Options
  {
    std::size_t hosts_ = 30;
    /** Time within which changes have to be in force. */
    goldcrestcroft::Duration bound_ = std::chrono::seconds{ 3 };
    StoreFault fault_ = StoreFault::None;
    /** Share of the hosts that the store does not serve; the readers are the
     * first of them. */
    double share_ = 0.0;
    /** Whether the hosts that are not served change every two seconds. */
    bool rotates_ = false;
    /** Whether hosts whose views are stale read by themselves. */
    bool substitutes_ = true;
    goldcrestcroft::Duration duration_ = std::chrono::seconds{ 60 };
    unsigned seed_ = 1;
  };
  struct Outcome
  {
    /** Longest time from a change until a host had adopted it. */
    goldcrestcroft::Duration latest_{};
    /** Number of changes that a host adopted after the bound. */
    std::size_t late_ = 0;
    std::size_t calls_ = 0;
    /** Maximum number of calls that began within one second. */
    std::size_t maxCallsIn1s_ = 0;
    /** Calls of hosts that are not readers while the store has no fault. */
    std::size_t nonReaderCalls_ = 0;
  };

  explicit ReadWorld(Options aOptions);
  auto Simulate() -> Outcome;

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
    /** Number of the call or delay in progress; a callback with another
     * number is outdated. */
    std::uint64_t step_ = 0;
    bool waits_ = false;
    TimePoint sentAt_;
    goldcrestcroft::Duration wait_{};
  };

  [[nodiscard]] auto IsReader(std::size_t aHost) const -> bool;
  [[nodiscard]] auto IsFaultActive() const -> bool;
  auto Step(std::size_t aHost) -> void;
  auto Call(std::size_t aHost, goldcrestcroft::Duration aWait) -> void;
  auto Answer(std::size_t aHost, std::uint64_t aStep) -> void;
  auto Fail(std::size_t aHost, std::uint64_t aStep) -> void;
  auto Ping(std::size_t aHost) -> void;
  auto SendView(std::size_t aFrom, std::size_t aTo,
                std::function<void()> aThen = {}) -> void;
  auto ReceiveView(std::size_t aHost, std::size_t aFrom, std::uint64_t aVersion,
                   std::optional<TimePoint> aAsOf) -> void;
  auto Push(std::size_t aHost) -> void;
  auto Adopt(std::size_t aHost, std::uint64_t aVersion) -> bool;
  auto Change() -> void;
  auto SetServed(bool aFaulty) -> void;

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
