#pragma once

#include "../policy/EventQueue.h"
#include "OnceScenario.h"

#include <goldcrestcroft/Once.h>

#include <functional>

namespace bench {

/** \brief A table service that takes so many transactions a second, in turn. */
class FakeTable
{
public:
  FakeTable(EventQueue& aEvents, PlatformState aPlatform)
    : events_(aEvents)
    , platform_(aPlatform)
  {
  }

  /** \brief Answers later, on the clock of the events. */
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
