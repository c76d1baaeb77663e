#pragma once

#include "RoutingPolicy.h"

namespace goldcrestcroft {

/** \brief Baseline: the least load per slot as last reported. */
class LeastReportedRouting
{
public:
  static constexpr bool kHoldsBack = false;

  auto Choose(std::span<const Candidate> aCandidates, RandomEngine& aRandom)
    -> std::size_t
  {
    // Starting at a random place breaks ties without favouring the first.
    auto choice = UniformBelow(aRandom, aCandidates.size());
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (Load(aCandidates[i]) < Load(aCandidates[choice])) {
        choice = i;
      }
    }
    return choice;
  }

private:
  static auto Load(const Candidate& aCandidate) -> double
  {
    return aCandidate.reported_ / aCandidate.slots_;
  }
};

static_assert(RoutingPolicy<LeastReportedRouting>);

} // namespace goldcrestcroft
