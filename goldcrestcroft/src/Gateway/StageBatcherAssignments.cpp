#include "StageBatcher.h"

namespace goldcrestcroft {

namespace {

/** Health and speed of engines are looked up at this interval rather than for
 * each request. */
constexpr auto kRefreshInterval = std::chrono::milliseconds{ 100 };

} // namespace

auto StageBatcher::AssignEngine(const std::string& aShard, std::uint64_t aOrder,
                                const PromptWork& aWork) -> std::string
{
  const auto now = clock_.Now();
  auto& [assigner, refreshedAt] = assignments_[aShard];
  if (now - refreshedAt >= kRefreshInterval) {
    refreshedAt = now;
    std::vector<EngineAssigner::Candidate> candidates;
    const auto& engines = pool_.Engines().EnginesOf(aWork.service_);
    const AssignmentShards shards(aWork.service_, engines.size());
    for (const auto& entry : engines) {
      if (shards.OfEngine(entry.id_) != aShard) {
        continue;
      }
      const auto state = pool_.StateOf(entry);
      if (state->health_.IsUsable(now) && !state->health_.IsOnTrial() &&
          state->availability_.IsEligible({}, now) && !state->limit_) {
        candidates.push_back({ .id_ = entry.id_,
                               .zone_ = entry.zone_,
                               .slots_ = entry.slots_,
                               .slowdown_ = state->ReportedSlowdown(now),
                               .cold_ = now < entry.coldUntil_ });
      }
    }
    assigner.SetCandidates(std::move(candidates));
  }
  auto engine = assigner.Assign(aOrder, aWork, now);
  pool_.Count(engine ? "engines_assigned" : "engines_not_assigned");
  return std::move(engine).value_or("");
}

} // namespace goldcrestcroft
