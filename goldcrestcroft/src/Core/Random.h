#pragma once

#include <random>

namespace goldcrestcroft {

/** \brief The random number engine that is injected into all decision logic. */
using RandomEngine = std::mt19937_64;

/** \brief A number in [0, aBound); aBound must be positive. */
template<std::uniform_random_bit_generator Engine>
auto UniformBelow(Engine& aEngine, std::size_t aBound) -> std::size_t
{
  return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(aEngine);
}

/** \brief A number in [0, 1). */
template<std::uniform_random_bit_generator Engine>
auto UniformUnit(Engine& aEngine) -> double
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aEngine);
}

} // namespace goldcrestcroft
