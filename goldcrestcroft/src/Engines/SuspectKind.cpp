#include "SuspectKind.h"

#include <algorithm>
#include <iterator>

namespace goldcrestcroft {

namespace {

/** The first bits of the fingerprints of parts. So few requests would have them
 * that the fingerprints of all others are those of releases without parts. */
constexpr std::uint64_t kPromptPartMark = 0xffffULL << 48U;
constexpr std::uint64_t kFirstBit = 1ULL << 63U;

} // namespace

auto KindOf(std::uint64_t aFingerprint) -> SuspectKind
{
  return (aFingerprint & kPromptPartMark) == kPromptPartMark
           ? SuspectKind::PromptPart
           : SuspectKind::Request;
}

auto ToString(SuspectKind aKind) -> std::string
{
  return aKind == SuspectKind::PromptPart ? "prompt_part" : "request";
}

auto RequestFingerprint(std::string_view aText) -> std::uint64_t
{
  const auto fingerprint = Fingerprint(aText);
  return KindOf(fingerprint) == SuspectKind::Request ? fingerprint
                                                     : fingerprint & ~kFirstBit;
}

auto PromptPartFingerprint(std::string_view aId) -> std::uint64_t
{
  return Fingerprint(aId) | kPromptPartMark;
}

auto SharedPartFingerprints(const std::vector<PromptPart>& aParts)
  -> std::vector<std::uint64_t>
{
  const auto ids = SharedPartIds(aParts);
  std::vector<std::uint64_t> fingerprints;
  std::transform(ids.begin(), ids.end(), std::back_inserter(fingerprints),
                 PromptPartFingerprint);
  return fingerprints;
}

} // namespace goldcrestcroft
