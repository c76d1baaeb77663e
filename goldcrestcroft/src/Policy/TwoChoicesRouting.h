#pragma once

#include "RoutingPolicy.h"

namespace goldcrestcroft {

/** \brief Baseline: of two random servers, the one with fewer of the own
 * requests. */
class TwoChoicesRouting
{
public:
  static constexpr bool kHoldsBack = false;

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
