#pragma once

#include "../../../Policy.h"
#include "../Control/PlatformTable.h"

namespace goldcrestcroft {

/** \brief Runs suspected requests one at a time, each alone on a reserved
 * server, by executing the steps of a SoloQueue.
 *
 * The turn is a lock shared by all hosts, held as an expiring row of the table
 * service: only the host that holds it runs suspects. Changes of the reserved
 * server are reported through onReserved_, so that the peers are notified. */
class SuspectRunner
{
public:
  /** \brief Callbacks into the RequestEngine. */
  struct Handlers
  {
    /** Returns the least loaded open server of a pool, if any. */
    std::function<std::optional<ServerId>(const PoolId&)> pickServer_;
    /** Whether the server has no requests of any host, as far as this host can
     * estimate. */
    std::function<bool(const ServerId&)> isEmpty_;
    std::function<void(const WorkItem&, const ServerId&)> start_;
    std::function<void(const WorkItem&)> refuse_;
    /** The reserved server changed; the id is empty if none is reserved. */
    std::function<void(const ServerId&)> onReserved_;
  };

  SuspectRunner(SoloQueue::Options aOptions, std::string aSelf,
                PlatformTable& aTable, Handlers aHandlers)
    : queue_(aOptions)
    , self_(std::move(aSelf))
    , table_(aTable)
    , handlers_(std::move(aHandlers))
  {
  }

  auto Add(WorkItem aWork) -> void;
  auto Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto OnEnded(const AttemptId& aAttempt, bool aServerLost, TimePoint aNow)
    -> void;
  /** \brief Removes and returns the queued suspects for which aChoose returns
   * true. */
  template<std::predicate<const WorkItem&> Choose>
  auto TakeIf(Choose&& aChoose) -> std::vector<WorkItem>
  {
    return queue_.TakeIf(std::forward<Choose>(aChoose));
  }
  [[nodiscard]] auto IsRunning(const AttemptId& aAttempt) const -> bool
  {
    return queue_.IsRunning(aAttempt);
  }
  [[nodiscard]] auto Server() const -> const ServerId&
  {
    return queue_.Server();
  }
  auto Tick(TimePoint aNow) -> void;

private:
  auto ReadTurn(const TransactReply& aReply) -> SoloQueue::Turn;
  auto TakeTurn() -> void;
  auto ReleaseTurn() -> void;

  SoloQueue queue_;
  std::string self_;
  PlatformTable& table_;
  Handlers handlers_;
  bool tableBusy_ = false;
  RowVersion turnVersion_ = 0;
};

} // namespace goldcrestcroft
