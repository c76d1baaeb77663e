#pragma once

#include "VirtualWorld.h"

#include <goldcrestcroft/Engines.h>

#include <deque>
#include <map>

namespace testing {

/** \brief Simulates hosts that share the rate limit of one engine, on a
 * virtual clock. Hosts are killed, start, are paused and learn of each other
 * late, and datagrams are lost. */
class LimitWorld : private VirtualWorld
{
public:
  struct Options
  {
    std::size_t hosts_ = 9;
    double limit_ = 1.0;
    /** Requests per second of all callers that are meant for this engine. */
    double wanted_ = 20.0;
    /** Whether demand is uneven: the first host gets half of the requests and
     * its share of the rest. */
    bool unevenDemand_ = false;
    /** Whether hosts restart and are paused throughout. */
    bool faults_ = false;
    /** If set, the limit is that of a warm-up of this length, which all hosts
     * know from the engine's entry; the engine restarts after each. */
    std::optional<goldcrestcroft::Duration> warmUp_;
    goldcrestcroft::Duration duration_ = std::chrono::seconds{ 60 };
    unsigned seed_ = 1;
  };
  /** `contact_ms` of a small site. */
  static constexpr goldcrestcroft::Duration kContact =
    std::chrono::milliseconds{ 3000 };

  struct Outcome
  {
    /** Maximum number of requests in any 4 s, from hosts that learned of the
     * limit at least half a second before and that were not disturbed for
     * `contact_ms`. */
    std::size_t maxIn4s_ = 0;
    /** Maximum number of requests in any second, from all hosts. */
    std::size_t maxIn1s_ = 0;
    std::size_t sent_ = 0;
    std::size_t wanted_ = 0;
    std::size_t datagrams_ = 0;
    /** Part of the limit that was used, without the first seconds. */
    double used_ = 0.0;
    /** Time until the last host had learned of the limit. */
    goldcrestcroft::Duration allInformedAfter_{};
  };

  explicit LimitWorld(Options aOptions);
  auto Play() -> Outcome;

  /** \brief Requests in any 4 s that the users' rule allows. */
  static auto Allowed(double aLimit) -> std::size_t
  {
    return static_cast<std::size_t>(1.5 * 4.0 * aLimit + 5.0);
  }

private:
  struct Host
  {
    bool runs_ = true;
    std::uint64_t incarnation_ = 0;
    goldcrestcroft::LimitTable table_;
    goldcrestcroft::PermitIssuer issuer_;
    TimePoint askAgainAt_;
    std::optional<TimePoint> informedAt_;
    TimePoint disturbedAt_{};
    TimePoint stalledUntil_{};
  };

  [[nodiscard]] auto NameOf(std::size_t aHost) const -> std::string;
  auto HostNamed(const std::string& aName) const -> std::optional<std::size_t>;

  [[nodiscard]] auto Engine() const -> goldcrestcroft::EngineIncarnation;
  auto Arrive() -> void;
  auto PickHost() -> std::size_t;
  /** \brief A caller's request arrives that the host would send to the engine.
   */
  auto OnCallerRequest(std::size_t aHost) -> void;
  auto RequestPermit(std::size_t aHost, std::size_t aOwner) -> void;
  /** \brief The engine advertises its limit to the host. */
  auto ReceiveLimit(std::size_t aHost) -> void;
  auto Issue(std::size_t aOwner) -> goldcrestcroft::Permit;
  auto NoteIfAllInformed() -> void;
  auto OnPermit(std::size_t aHost, goldcrestcroft::Permit aPermit) -> void;
  auto Send(std::size_t aHost, bool aPermitted) -> void;
  /** \brief Runs aAct on the host after the delay of a datagram: sometimes
   * lost, and late while the host is paused. */
  auto Deliver(std::size_t aTo, std::function<void()> aAct) -> bool;
  auto Tick(std::size_t aHost, std::uint64_t aIncarnation) -> void;
  auto PublishHosts() -> void;
  auto InjectFault() -> void;
  auto Evaluate() -> void;
  /** \brief Maximum number of the arrivals within aWindow. */
  [[nodiscard]] auto MaxWithin(goldcrestcroft::Duration aWindow,
                               bool aOnlyCounted) const -> std::size_t;

  Options options_;
  TimePoint begin_;
  TimePoint end_;
  std::vector<Host> hosts_;
  struct Arrival
  {
    TimePoint at_;
    std::size_t host_ = 0;
    bool counts_ = false;
  };
  std::vector<Arrival> arrivals_;
  Outcome outcome_;
};

} // namespace testing
