#pragma once

#include "LimitTable.h"

namespace goldcrestcroft {

/** \brief Whether one request may be sent to an engine with a rate limit. */
struct Permit
{
  bool granted_ = false;
  /** Time until the request may be sent, or until another permit request makes
   * sense. */
  Duration wait_{};

  auto operator<=>(const Permit&) const = default;
};

/** \brief Issues the permits for engines that limit the rate of all hosts
 * together.
 *
 * Two hosts own the rate of each engine, chosen by rendezvous hash among the
 * live hosts. The first owner issues the whole limit, request by request, to
 * any host that asks. The second owner serves hosts to which the first does
 * not reply, with a small share. Each owner paces its permits, so that unused
 * ones do not accumulate into a burst. A host that has just started, was
 * paused, or replaces a first owner that is gone also issues only a share,
 * since hosts that are unaware of the change may still ask its predecessor. No
 * state is kept for engines that nobody asks for. */
class PermitIssuer
{
public:
  struct Options
  {
    std::size_t owners_ = 2;
    /** The part of a limit that may be issued at once, as the time in which it
     * falls due; at least one request. */
    Duration burst_ = std::chrono::milliseconds{ 100 };
    /** A new first owner issues a share for this long, until hosts agree on
     * it: updates take a second to reach 300 hosts. */
    Duration reducedFor_ = std::chrono::milliseconds{ 2000 };
    /** The share, as a fraction of the limit and in requests per second on
     * top. In 4 s the platform tolerates an excess of half of the limit plus 5
     * requests. One host that issues the whole limit and two that issue a
     * share, for as long as hosts disagree, stay below that, including a burst
     * each and 250 ms in transit for what they issued. */
    double reducedShare_ = 0.3;
    double reducedPerSecond_ = 0.23;
    /** Minimum rate of permits. An engine with a lower limit is still sent
     * requests at this rate: there is no other way to learn that its limit was
     * lifted. */
    double minPerSecond_ = 0.1;
    /** Maximum time that a request may wait for its turn. */
    Duration maxWait_ = std::chrono::milliseconds{ 1000 };
    /** Maximum time until a host that was denied a permit asks again. */
    Duration maxRetryDelay_ = std::chrono::milliseconds{ 2000 };
    Duration forgetAfter_ = std::chrono::minutes{ 1 };
    /** Maximum number of engines whose owners are cached rather than computed
     * for each request. */
    std::size_t maxCached_ = 4096;
  };

  PermitIssuer()
    : PermitIssuer(Options{})
  {
  }
  explicit PermitIssuer(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Sets the live hosts, this one included. Their names differ for
   * each incarnation of a host. */
  auto SetHosts(std::vector<std::string> aHosts, std::string aSelf,
                TimePoint aNow) -> void;
  /** \brief The hosts that own the engine's rate, in order of precedence. */
  [[nodiscard]] auto Owners(const EngineIncarnation& aIncarnation)
    -> const std::vector<std::string>&;
  /** \brief Issues or denies a permit to send a request within aMaxWait from
   * now. A granted permit is to be used once its wait is over. */
  auto Take(const EngineIncarnation& aIncarnation, double aPerSecond,
            Duration aMaxWait, TimePoint aNow) -> Permit;
  /** \brief This process was paused, so other hosts may have replaced it. */
  auto OnProcessPaused(TimePoint aNow) -> void { undisturbedSince_ = aNow; }
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return rates_.size(); }

private:
  struct Rate
  {
    /** When the next request is due at an even rate. */
    TimePoint nextAt_;
    TimePoint askedAt_;
  };
  struct RemovedHost
  {
    std::string host_;
    TimePoint at_;
  };

  /** \brief Whether this host has been the first owner for long enough that all
   * hosts know. */
  [[nodiscard]] auto IsEstablished(const EngineIncarnation& aIncarnation,
                                   TimePoint aNow) -> bool;

  Options options_;
  std::vector<std::string> hosts_;
  std::string self_;
  /** Since when this host has run without a pause. */
  std::optional<TimePoint> undisturbedSince_;
  /** Hosts that may still be taken for owners. */
  std::vector<RemovedHost> removed_;
  std::map<EngineIncarnation, Rate> rates_;
  /** Owners of the engines that were asked for, among the current hosts. */
  std::map<EngineIncarnation, std::vector<std::string>> owners_;
};

} // namespace goldcrestcroft
