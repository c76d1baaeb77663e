#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
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

/** \brief Whether any of many fixed schedules goes wrong; aViolationOf runs one
 * and tells what did, or nothing. */
template<typename ViolationOf>
auto AnyGoesWrong(int aSchedules, unsigned aSeed, std::size_t aLength,
                  ViolationOf aViolationOf) -> bool
{
  std::mt19937 random(aSeed);
  for (auto i = 0; i < aSchedules; ++i) {
    std::vector<std::uint16_t> schedule(aLength);
    for (auto& choice : schedule) {
      choice = static_cast<std::uint16_t>(random());
    }
    if (!aViolationOf(schedule).empty()) {
      return true;
    }
  }
  return false;
}

} // namespace testing
