#pragma once

#include "../policy/EventQueue.h"
#include "OnceScenario.h"

#include <goldcrestcroft/Once.h>

#include <functional>

namespace bench {

/** \brief Simulated table service that processes transactions one after another
 * at a rate given by its state. */
class FakeTable
{
public:
  FakeTable(EventQueue& aEvents, PlatformState aPlatform)
    : events_(aEvents)
    , platform_(aPlatform)
  {
  }

  /** \brief Calls aReply asynchronously, on the virtual clock of the event
   * queue. */
  auto Transact(
    std::vector<goldcrestcroft::RowWrite> aWrites,
    std::function<void(const goldcrestcroft::TransactReply&)> aReply) -> void;

  std::size_t transactions_ = 0;
  std::size_t rows_ = 0;

private:
  EventQueue& events_;
  PlatformState platform_;
  goldcrestcroft::MemoryTable table_;
  TimePoint busyUntil_{};
};

} // namespace bench
