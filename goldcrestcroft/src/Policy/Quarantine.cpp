#include "Quarantine.h"

#include <algorithm>

namespace goldcrestcroft {

auto Quarantine::Judge(std::uint64_t aFingerprint, TimePoint aNow) const
  -> Verdict
{
  const auto found = entries_.find(aFingerprint);
  return found == entries_.end() || found->second.until_ <= aNow
           ? Verdict::Free
           : found->second.verdict_;
}

auto Quarantine::Escalate(std::uint64_t aFingerprint, Verdict aVerdict,
                          TimePoint aNow) -> bool
{
  if (Judge(aFingerprint, aNow) >= aVerdict) {
    return false;
  }
  Evict(aNow);
  const auto duration = aVerdict == Verdict::Quarantined
                          ? options_.quarantineFor_
                          : options_.suspectFor_;
  entries_[aFingerprint] = { .verdict_ = aVerdict, .until_ = aNow + duration };
  return true;
}

auto Quarantine::Evict(TimePoint aNow) -> void
{
  if (entries_.size() < options_.capacity_) {
    return;
  }
  std::erase_if(entries_, [aNow](const auto& aItem) {
    return aItem.second.until_ <= aNow;
  });
  while (entries_.size() >= options_.capacity_) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second.until_ <
                                             aRight.second.until_;
                                    }));
  }
}

auto Quarantine::OnCrash(const std::vector<std::uint64_t>& aInFlight,
                         bool aAlone, TimePoint aNow)
  -> std::vector<QuarantineUpdate>
{
  std::vector<QuarantineUpdate> updates;
  for (const auto fingerprint : aInFlight) {
    // Only a crash of a server that ran nothing else is conclusive. A suspect
    // that shared the server with other requests remains a suspect.
    const auto confirmed =
      aAlone && Judge(fingerprint, aNow) == Verdict::Suspect;
    const auto verdict = confirmed ? Verdict::Quarantined : Verdict::Suspect;
    if (Escalate(fingerprint, verdict, aNow)) {
      updates.push_back({ .fingerprint_ = fingerprint, .verdict_ = verdict });
    }
  }
  return updates;
}

auto Quarantine::OnCleared(std::uint64_t aFingerprint)
  -> std::vector<QuarantineUpdate>
{
  const auto found = entries_.find(aFingerprint);
  if (found == entries_.end() ||
      found->second.verdict_ == Verdict::Quarantined) {
    return {};
  }
  entries_.erase(found);
  return { { .fingerprint_ = aFingerprint, .verdict_ = Verdict::Free } };
}

auto Quarantine::OnUpdate(const QuarantineUpdate& aUpdate, TimePoint aNow)
  -> bool
{
  if (aUpdate.verdict_ == Verdict::Free) {
    return !OnCleared(aUpdate.fingerprint_).empty();
  }
  return Escalate(aUpdate.fingerprint_, aUpdate.verdict_, aNow);
}

auto Quarantine::Export(std::size_t aMax, TimePoint aNow) const
  -> std::vector<QuarantineUpdate>
{
  std::vector<QuarantineUpdate> updates;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.until_ > aNow) {
      updates.push_back(
        { .fingerprint_ = fingerprint, .verdict_ = entry.verdict_ });
    }
  }
  std::sort(updates.begin(), updates.end(),
            [](const QuarantineUpdate& aLeft, const QuarantineUpdate& aRight) {
              return aLeft.verdict_ > aRight.verdict_;
            });
  updates.resize(std::min(updates.size(), aMax));
  return updates;
}

} // namespace goldcrestcroft
