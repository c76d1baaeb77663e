#pragma once

#include "RoutingPolicy.h"

namespace goldcrestcroft {

/** \brief Baseline: power of two choices. Chooses the one of two random servers
 * that has fewer requests of this host. */
class TwoChoicesRouting
{
public:
  static constexpr bool kQueuesAtHost = false;

  auto Choose(std::span<const Candidate> aCandidates, RandomEngine& aRandom)
    -> std::size_t
  {
    const auto first = UniformBelow(aRandom, aCandidates.size());
    const auto second = UniformBelow(aRandom, aCandidates.size());
    return aCandidates[second].own_ < aCandidates[first].own_ ? second : first;
  }
};

static_assert(RoutingPolicy<TwoChoicesRouting>);

} // namespace goldcrestcroft
