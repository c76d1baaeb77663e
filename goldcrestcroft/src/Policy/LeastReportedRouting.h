#pragma once

#include "RoutingPolicy.h"

namespace goldcrestcroft {

/** \brief Baseline: chooses the least load per slot as last reported. */
class LeastReportedRouting
{
public:
  static constexpr bool kQueuesAtHost = false;

  auto Choose(std::span<const Candidate> aCandidates, RandomEngine& aRandom)
    -> std::size_t
  {
    // A random start breaks ties without a bias towards the first candidate.
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
