#pragma once

#include "RoutingPolicy.h"

namespace goldcrestcroft {

/** \brief Baseline: chooses the servers in turn, regardless of load. */
class RoundRobinRouting
{
public:
  static constexpr bool kQueuesAtHost = false;

  auto Choose(std::span<const Candidate> aCandidates, RandomEngine&)
    -> std::size_t
  {
    return next_++ % aCandidates.size();
  }

private:
  std::size_t next_ = 0;
};

static_assert(RoutingPolicy<RoundRobinRouting>);

} // namespace goldcrestcroft
