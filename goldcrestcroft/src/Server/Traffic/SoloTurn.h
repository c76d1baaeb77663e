#pragma once

#include "../../../Policy.h"
#include "../Control/PlatformTable.h"

namespace goldcrestcroft {

/** \brief Drives a SoloQueue: the fleet's turn is a row of the table service,
 * and reserved servers are made known to the peers. */
class SoloTurn
{
public:
  /** \brief What the queue needs from its host. */
  struct Handlers
  {
    /** The least loaded open server of a pool, if any. */
    std::function<std::optional<ServerId>(const PoolId&)> pickServer_;
    std::function<bool(const ServerId&)> isEmpty_;
    std::function<void(const Work&, const ServerId&)> start_;
    std::function<void(const Work&)> refuse_;
    /** The reserved server changed; empty for none. */
    std::function<void(const ServerId&)> onReserved_;
  };

  SoloTurn(SoloQueue::Options aOptions, std::string aSelf,
           PlatformTable& aTable, Handlers aHandlers)
    : queue_(aOptions)
    , self_(std::move(aSelf))
    , table_(aTable)
    , handlers_(std::move(aHandlers))
  {
  }

  auto Add(Work aWork) -> void;
  auto Cancel(const AttemptId& aAttempt, TimePoint aNow) -> void;
  auto OnEnded(const AttemptId& aAttempt, bool aServerLost, TimePoint aNow)
    -> void;
  /** \brief Takes out the waiting suspects that aChoose picks. */
  template<std::predicate<const Work&> Choose>
  auto TakeIf(Choose&& aChoose) -> std::vector<Work>
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
  auto GiveTurnBack() -> void;

  SoloQueue queue_;
  std::string self_;
  PlatformTable& table_;
  Handlers handlers_;
  bool tableBusy_ = false;
  RowVersion turnVersion_ = 0;
};

} // namespace goldcrestcroft
