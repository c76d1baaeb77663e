#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <random>
#include <vector>

namespace testing {

/** \brief Generates a schedule: the choices that drive a simulation. */
inline auto Schedule(std::size_t aLength) -> rc::Gen<std::vector<std::uint16_t>>
{
  return rc::gen::container<std::vector<std::uint16_t>>(
    aLength, rc::gen::arbitrary<std::uint16_t>());
}

/** \brief Checks a property with the seed given by RC_PARAMS. */
template<typename Property>
auto CheckProperty(Property aProperty) -> void
{
  CHECK(rc::check(aProperty));
}

/** \brief Whether any of aSchedules schedules fails, which are generated from
 * the fixed seed aSeed. aViolationOf runs one schedule and returns the
 * violation, or an empty string. */
template<typename ViolationOf>
auto AnyScheduleFails(int aSchedules, unsigned aSeed, std::size_t aLength,
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
