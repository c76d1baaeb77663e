#include "FakeTable.h"

#include <algorithm>

namespace bench {

using namespace goldcrestcroft;

auto FakeTable::Transact(std::vector<RowWrite> aWrites,
                         std::function<void(const TransactReply&)> aReply)
  -> void
{
  constexpr Duration kOneWayDelay = std::chrono::milliseconds{ 1 };
  constexpr Duration kTimeout = std::chrono::milliseconds{ 800 };
  if (platform_ == PlatformState::Down) {
    events_.After(2 * kOneWayDelay, [aReply] {
      aReply({ .status_ = TableStatus::Unavailable });
    });
    return;
  }
  ++transactions_;
  rows_ += aWrites.size();
  const auto service = platform_ == PlatformState::Slow
                         ? Duration(std::chrono::milliseconds{ 20 })
                         : Duration(2500); // 400 transactions per second
  busyUntil_ = std::max(busyUntil_, events_.Now() + kOneWayDelay) + service;
  if (busyUntil_ - events_.Now() > kTimeout) {
    // The service refuses a transaction that it cannot answer within
    // kTimeout.
    busyUntil_ -= service;
    events_.After(2 * kOneWayDelay, [aReply] {
      aReply({ .status_ = TableStatus::Unavailable });
    });
    return;
  }
  events_.At(busyUntil_ + kOneWayDelay,
             [this, aWrites, aReply] { aReply(table_.Transact(aWrites)); });
}

} // namespace bench
