#pragma once

#include "../../Core.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief An engine that could take a request, as this host sees it. */
struct EngineCandidate
{
  std::string id_;
  std::string zone_;
  double slots_ = 1.0;
  /** Requests of this host that it works on. */
  double ownRequests_ = 0.0;
  /** Requests that it runs or keeps waiting, by its last word. */
  double reportedRequests_ = 0.0;
  /** Share of the prompts that it should be the home of. */
  double homeWeight_ = 1.0;
  /** How much slower than its peers it answers; 1 for the usual. */
  double slowness_ = 1.0;

  auto operator<=>(const EngineCandidate&) const = default;

  /** \brief Load relative to its slots. */
  [[nodiscard]] auto Load() const -> double
  {
    const auto requests = std::max(ownRequests_, reportedRequests_);
    return requests / std::max(slots_, 1.0);
  }
};

/** \brief What a choice goes by. */
struct EngineChoiceOptions
{
  std::string ownZone_;
  /** Added to the relative load of engines in other zones. */
  double zonePenalty_ = 0.1;
  /** The home of a prompt is passed over once its relative load exceeds that
   * of the least loaded by this. */
  double homeTolerance_ = 0.35;
};

/** \brief The least loaded engine; ties go by a hash of aSalt. For requests
 * that any engine serves alike. Index into aCandidates. */
auto ChooseLeastLoaded(const std::vector<EngineCandidate>& aCandidates,
                       const EngineChoiceOptions& aOptions,
                       const std::string& aSalt) -> std::optional<std::size_t>;

/** \brief The engine that keeps the prompt part, by rendezvous hashing, so that
 * all hosts send a part to the same one; the next in that order where it is
 * overloaded. Index into aCandidates. */
auto ChooseHome(const std::vector<EngineCandidate>& aCandidates,
                const EngineChoiceOptions& aOptions, const std::string& aPart)
  -> std::optional<std::size_t>;

} // namespace goldcrestcroft
