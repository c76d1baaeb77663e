#pragma once

#include "Candidate.h"

#include <concepts>
#include <span>

namespace goldcrestcroft {

/** \brief Chooses among candidates, of which there is at least one.
 *
 * A policy with kHoldsBack leaves work in the entry host's queue while no
 * server has room; one without sends at once and lets servers queue. */
template<typename T>
concept RoutingPolicy = requires(T& aPolicy,
                                 std::span<const Candidate> aCandidates,
                                 RandomEngine& aRandom)
{
  {
    aPolicy.Choose(aCandidates, aRandom)
    } -> std::same_as<std::size_t>;
  {
    T::kHoldsBack
    } -> std::convertible_to<bool>;
};

} // namespace goldcrestcroft
