#pragma once

#include "../../Core.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief An engine that could serve a request, as this host sees it. */
struct EngineCandidate
{
  std::string id_;
  std::string zone_;
  double slots_ = 1.0;
  /** Requests of this host that the engine is processing. */
  double ownRequests_ = 0.0;
  /** Requests that the engine runs or queues, as it last reported. */
  double reportedRequests_ = 0.0;
  /** Relative share of the prompts whose home the engine should be. */
  double homeWeight_ = 1.0;
  /** Response time relative to its peers; 1 is typical. */
  double slowness_ = 1.0;

  auto operator<=>(const EngineCandidate&) const = default;

  /** \brief Load relative to its slots. */
  [[nodiscard]] auto Load() const -> double
  {
    const auto requests = std::max(ownRequests_, reportedRequests_);
    return requests / std::max(slots_, 1.0);
  }
};

/** \brief Parameters of the choice. */
struct EngineChoiceOptions
{
  std::string ownZone_;
  /** Added to the cost (relative load) of engines in other zones. */
  double zonePenalty_ = 0.1;
  /** The home of a prompt is skipped if its relative load exceeds that of the
   * least loaded engine by more than this. */
  double homeTolerance_ = 0.35;
};

/** \brief The least loaded engine, for requests that any engine serves equally
 * well. Ties are broken by a hash of aSalt. Returns an index into aCandidates.
 */
auto ChooseLeastLoaded(const std::vector<EngineCandidate>& aCandidates,
                       const EngineChoiceOptions& aOptions,
                       const std::string& aSalt) -> std::optional<std::size_t>;

/** \brief The home engine of the prompt part, by rendezvous hashing, so that
 * all hosts send a part to the same engine. If that engine is overloaded, the
 * next in that order. Returns an index into aCandidates. */
auto ChooseHome(const std::vector<EngineCandidate>& aCandidates,
                const EngineChoiceOptions& aOptions, const std::string& aPart)
  -> std::optional<std::size_t>;

} // namespace goldcrestcroft
