#pragma once

#include "LimitBoard.h"

namespace goldcrestcroft {

/** \brief Whether one request may be sent to an engine that names a limit. */
struct Permit
{
  bool granted_ = false;
  /** Until it may be sent, or until it is worth asking again. */
  Duration wait_{};

  auto operator<=>(const Permit&) const = default;
};

/** \brief Gives out the requests that engines in need take from all hosts
 * together.
 *
 * Two hosts keep the rate of each engine, by rendezvous among the live hosts.
 * The first gives the whole limit, request by request, to whoever asks; the
 * second serves those that the first does not answer, with a small share.
 * Each paces what it gives, so that no burst is saved up. A host that has just
 * become the first gives a share as well, since the one before it may still be
 * asked by hosts that do not know. Keeps nothing of engines that nobody asks
 * for. */
class PermitIssuer
{
public:
  struct Options
  {
    std::size_t keepers_ = 2;
    /** Of a limit, what may be given at once, as the time in which it is due;
     * one request at least. */
    Duration burst_ = std::chrono::milliseconds{ 100 };
    /** A host that becomes the first gives a share until hosts agree on it:
     * news takes a second to 300 hosts. */
    Duration cautiousFor_ = std::chrono::milliseconds{ 2000 };
    /** The share, of the limit and in requests a second on top. In 4 s the
     * platform allows half of the limit and 5 requests on top; one host that
     * gives the whole limit, and two that give a share for as long as hosts
     * disagree, stay below that, with a burst each and 250 ms for the way of
     * what they gave. */
    double cautiousShare_ = 0.3;
    double cautiousPerSecond_ = 0.23;
    /** An engine that takes less is asked so often whether it still does: it is
     * the only way to learn when that ends. */
    double leastPerSecond_ = 0.1;
    /** Longest time that a request may wait for its turn. */
    Duration longestPatience_ = std::chrono::milliseconds{ 1000 };
    /** Longest time until a host that is refused asks again. */
    Duration longestWait_ = std::chrono::milliseconds{ 2000 };
    Duration forgetAfter_ = std::chrono::minutes{ 1 };
    /** Engines whose keepers are not worked out again for each request. */
    std::size_t mostCached_ = 4096;
  };

  PermitIssuer()
    : PermitIssuer(Options{})
  {
  }
  explicit PermitIssuer(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief The live hosts, this one included, under names that differ for
   * each of their starts. */
  auto SetHosts(std::vector<std::string> aHosts, std::string aSelf) -> void;
  /** \brief The hosts that keep the engine's rate, the first one first. */
  [[nodiscard]] auto Keepers(const EngineStart& aStart)
    -> const std::vector<std::string>&;
  /** \brief A permit to send a request within aPatience from now, to be used
   * when its wait is over. */
  auto Take(const EngineStart& aStart, double aPerSecond, Duration aPatience,
            TimePoint aNow) -> Permit;
  /** \brief This host stood still, so others may have taken its place. */
  auto OnPause() -> void;
  auto Expire(TimePoint aNow) -> void;
  [[nodiscard]] auto Size() const -> std::size_t { return rates_.size(); }

private:
  struct Rate
  {
    /** When the next request is due at an even pace. */
    TimePoint nextAt_;
    /** Since when this host has been the first, in its own view. */
    std::optional<TimePoint> firstSince_;
    TimePoint askedAt_;
  };

  [[nodiscard]] auto IsFirst(const EngineStart& aStart) -> bool;

  Options options_;
  std::vector<std::string> hosts_;
  std::string self_;
  std::map<EngineStart, Rate> rates_;
  /** Of the engines that were asked for, with these hosts. */
  std::map<EngineStart, std::vector<std::string>> keepers_;
};

} // namespace goldcrestcroft
