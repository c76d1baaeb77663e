#pragma once

#include "RoutingPolicy.h"

#include <limits>

namespace goldcrestcroft {

/** \brief Chooses the server with the least estimated load per slot, weighted
 * by its slowness. Servers in this host's zone are preferred, and so are the
 * homes of the affinity value while they have capacity.
 * \sa RoundRobinRouting, LeastReportedRouting, TwoChoicesRouting */
class CorrectedLoadRouting
{
public:
  static constexpr bool kQueuesAtHost = true;

  struct Options
  {
    /** Penalty for a server in another zone, in load per slot. */
    double zonePenalty_ = 0.05;
    /** Bonus for a cached prompt prefix, in load per slot. */
    double affinityBonus_ = 0.3;
    /** Width of the random jitter, in load per slot. It keeps hosts with the
     * same data from all choosing the same server. */
    double spread_ = 0.1;
  };

  CorrectedLoadRouting() = default;
  explicit CorrectedLoadRouting(Options aOptions)
    : options_(aOptions)
  {
  }

  auto Choose(std::span<const Candidate> aCandidates, RandomEngine& aRandom)
    -> std::size_t
  {
    auto best = std::numeric_limits<double>::infinity();
    std::size_t choice = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto score =
        Score(aCandidates[i]) + options_.spread_ * UniformUnit(aRandom);
      if (score < best) {
        best = score;
        choice = i;
      }
    }
    return choice;
  }

private:
  [[nodiscard]] auto Score(const Candidate& aCandidate) const -> double
  {
    const auto load = aCandidate.estimated_ / aCandidate.slots_;
    auto score = load * aCandidate.slowness_;
    score += aCandidate.sameZone_ ? 0.0 : options_.zonePenalty_;
    score -= aCandidate.affine_ && aCandidate.HasCapacity()
               ? options_.affinityBonus_
               : 0.0;
    return score;
  }

  Options options_;
};

static_assert(RoutingPolicy<CorrectedLoadRouting>);

} // namespace goldcrestcroft
