#pragma once

#include "Candidate.h"

#include <concepts>
#include <span>

namespace goldcrestcroft {

/** \brief Chooses one of at least one candidate; Choose returns its index.
 *
 * With kQueuesAtHost, work items stay in the entry host's queue while no server
 * has capacity. Without it, they are sent at once and queue at the servers. */
template<typename T>
concept RoutingPolicy = requires(T& aPolicy,
                                 std::span<const Candidate> aCandidates,
                                 RandomEngine& aRandom)
{
  {
    aPolicy.Choose(aCandidates, aRandom)
    } -> std::same_as<std::size_t>;
  {
    T::kQueuesAtHost
    } -> std::convertible_to<bool>;
};

} // namespace goldcrestcroft
