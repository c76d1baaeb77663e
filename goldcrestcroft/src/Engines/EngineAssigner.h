#pragma once

#include "../Routing/PromptWork.h"

#include <map>
#include <optional>

namespace goldcrestcroft {

/** \brief Assigns the requests of all hosts to model engines, by the work that
 * they cause there.
 *
 * Load: prompts of very different length on the same engines. An engine reads
 * prompts in chunks between the tokens of the streams that it runs, so that two
 * long prompts at once delay the first event of both and interrupt the streams
 * beside them. Hosts that choose by themselves see too few of each other's
 * requests to avoid this.
 *
 * The cost of an engine is the time until it has read the prompt, including the
 * prompts that were assigned before and the shared parts that it has not
 * cached, and the delay of the streams that it runs. The assigner learns when
 * each prompt was read, and from that the speed of each engine. A new instance
 * learns both within seconds. */
class EngineAssigner
{
public:
  struct Options
  {
    /** Prompt tokens that an engine reads per second beside some streams. */
    double tokensPerSecond_ = 50'000.0;
    /** Time of one output token of a stream. */
    Duration tokenTime_ = std::chrono::microseconds{ 4'000 };
    /** Cost of one running stream, whose tokens share the engine's steps. */
    Duration perStream_ = std::chrono::milliseconds{ 4 };
    /** Cost of delaying a running stream, as a part of the time for which a
     * prompt is read beside it. */
    double delayWeight_ = 0.3;
    /** The same while another prompt is read as well: the gaps between events
     * then exceed what callers tolerate. */
    double overlapWeight_ = 1.0;
    /** A shared part that another engine has cached costs this many times its
     * reading time, since all later requests with it may read it again. */
    double rereadWeight_ = 16.0;
    /** Cost of results that cross zones. */
    Duration zonePenalty_ = std::chrono::milliseconds{ 30 };
    /** Cost of an engine that warms up. */
    Duration coldPenalty_ = std::chrono::milliseconds{ 500 };
    /** A request that is not known to have begun after this time is ignored. */
    Duration maxPending_ = std::chrono::seconds{ 10 };
    /** Weight of a new measurement of an engine's speed. */
    double smoothing_ = 0.2;
    /** A slow engine counts as usual again this long after its speed was last
     * measured, since an engine that is avoided is not measured. */
    Duration forgetSpeed_ = std::chrono::seconds{ 15 };
    /** Time from the assignment to the first event of a short prompt. */
    Duration baseTime_ = std::chrono::milliseconds{ 40 };
    /** How long a part that is not used is assumed to stay cached. */
    Duration keepParts_ = std::chrono::seconds{ 30 };
  };

  /** \brief An engine that may be assigned requests now. */
  struct Candidate
  {
    std::string id_;
    std::string zone_;
    std::size_t slots_ = 1;
    /** How long work takes there now, relative to its usual time. */
    double slowdown_ = 1.0;
    bool cold_ = false;

    auto operator<=>(const Candidate&) const = default;
  };

  EngineAssigner()
    : EngineAssigner(Options{})
  {
  }
  explicit EngineAssigner(Options aOptions)
    : options_(aOptions)
  {
  }

  /** \brief Sets the engines that may be assigned requests now. What is known
   * of others is dropped. */
  auto SetCandidates(std::vector<Candidate> aCandidates) -> void;
  /** \brief The engine for the request aId, whose work is counted there until
   * OnRead; none if no engine has a free slot. */
  auto Assign(std::uint64_t aId, const PromptWork& aWork, TimePoint aNow)
    -> std::optional<std::string>;
  /** \brief The engine has read the prompt of the request and begun to respond,
   * or gives up the request. */
  auto OnRead(std::uint64_t aId, TimePoint aNow) -> void;

private:
  /** \brief A prompt that was assigned and is not read yet. */
  struct Pending
  {
    std::uint64_t id_ = 0;
    TimePoint assignedAt_;
    double tokens_ = 0.0;
    /** Estimated time until it is read, prompts before it included. */
    Duration expected_{};
  };
  struct Engine
  {
    Candidate candidate_;
    std::vector<Pending> pending_;
    /** Measured time to read prompts, relative to the estimate, and when it was
     * last measured. */
    double slowness_ = 1.0;
    TimePoint measuredAt_;
    /** Estimated ends of its streams. */
    std::vector<TimePoint> streamEnds_;
    /** Cached shared parts, and when each was used last. */
    std::map<std::uint64_t, TimePoint> parts_;
  };

  [[nodiscard]] auto SlownessOf(const Engine& aEngine, TimePoint aNow) const
    -> double;
  [[nodiscard]] auto ReadTime(double aTokens, const Engine& aEngine,
                              TimePoint aNow) const -> Duration;
  /** \brief Time until the engine has read the prompts assigned so far. */
  [[nodiscard]] auto PendingTime(const Engine& aEngine, TimePoint aNow) const
    -> Duration;
  /** \brief Tokens of the shared parts that the engine has to read. */
  [[nodiscard]] auto UncachedTokens(const PromptWork& aWork,
                                    const Engine& aEngine, TimePoint aNow) const
    -> double;
  [[nodiscard]] auto CostOf(const PromptWork& aWork, const Engine& aEngine,
                            TimePoint aNow) const -> std::optional<Duration>;
  auto Commit(std::uint64_t aId, const PromptWork& aWork, Engine& aEngine,
              TimePoint aNow) -> void;

  Options options_;
  /** By id, in order. */
  std::vector<Engine> engines_;
};

} // namespace goldcrestcroft
