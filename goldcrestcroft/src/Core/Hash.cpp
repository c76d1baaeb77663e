#include "Hash.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

namespace goldcrestcroft {

auto Fingerprint(std::string_view aText, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

auto RendezvousWeight(std::string_view aKey, std::string_view aNode)
  -> std::uint64_t
{
  return Fingerprint(aNode, Fingerprint(aKey));
}

auto ToHex(std::uint64_t aNumber) -> std::string
{
  return fmt::format("{:016x}", aNumber);
}

} // namespace goldcrestcroft
