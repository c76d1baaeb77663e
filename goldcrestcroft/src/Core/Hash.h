#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestcroft {

/** \brief A 64-bit hash; different seeds select independent hash functions. */
auto Fingerprint(std::string_view aText, std::uint64_t aSeed = 0)
  -> std::uint64_t;

/** \brief Rendezvous weight of a key on a node: the node with the largest
 * weight is the home of the key. */
auto RendezvousWeight(std::string_view aKey, std::string_view aNode)
  -> std::uint64_t;

/** \brief The number as 16 lower-case hexadecimal digits. */
auto ToHex(std::uint64_t aNumber) -> std::string;

} // namespace goldcrestcroft
