#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace testing {

/** \brief A schedule of choices for a world under test. */
inline auto Schedule(std::size_t aLength) -> rc::Gen<std::vector<std::uint16_t>>
{
  return rc::gen::container<std::vector<std::uint16_t>>(
    aLength, rc::gen::arbitrary<std::uint16_t>());
}

/** \brief Checks a property under the seed of RC_PARAMS. */
template<typename Property>
auto CheckProperty(Property aProperty) -> void
{
  CHECK(rc::check(aProperty));
}

} // namespace testing
