#pragma once

#include "../../Platform.h"

#include <optional>

namespace goldcrestcroft {

/** \brief Increases with each new holder of a lease; commands carry it. */
using FencingToken = std::uint64_t;

/** \brief A lease row in the table service. */
struct LeaseRow
{
  HostId holder_;
  FencingToken token_ = 0;
  /** Incremented by each renewal, so that the row changes and observers
   * restart the term. */
  std::uint64_t renewals_ = 0;

  auto operator<=>(const LeaseRow&) const = default;
};

auto EncodeLeaseRow(const LeaseRow& aRow) -> std::string;
auto DecodeLeaseRow(const std::string& aText) -> Result<LeaseRow>;

/** \brief One contender for a lease.
 *
 * No clock is shared: an observer treats the lease as expired once the row
 * has not changed for the term on the observer's own clock; the holder
 * counts its term from before the renewal was sent. A holder that was
 * paused cannot rely on an expired lease, since Holds checks the time on
 * each call; servers that check the token reject what it sent too late. For
 * servers that ignore the token, a new holder waits for maxCommandDelay_, the
 * longest time that a command of the old one may be in flight. */
class Lease
{
public:
  struct Options
  {
    HostId self_;
    RowKey row_;
    Duration term_ = std::chrono::seconds{ 6 };
    Duration renewEvery_ = std::chrono::seconds{ 2 };
    /** Longest time that a command of the previous holder may still be in
     * flight. */
    Duration maxCommandDelay_ = std::chrono::seconds{ 4 };
  };

  enum class Step
  {
    Idle,
    Read,
    Write
  };

  explicit Lease(Options aOptions)
    : options_(std::move(aOptions))
  {
  }

  /** \brief The table call to make now. One call is in flight at a time. */
  auto Tick(TimePoint aNow) -> Step;
  /** \brief The call that is due or in flight. After OnRead this may be
   * Write: send PendingWrite at once. */
  [[nodiscard]] auto UnderWay() const -> Step { return underWay_; }
  /** \brief The write for Step::Write. */
  [[nodiscard]] auto PendingWrite() const -> const RowWrite& { return write_; }

  auto OnRead(const ReadReply& aReply, TimePoint aNow) -> void;
  auto OnWritten(const TransactReply& aReply, TimePoint aNow) -> void;

  /** \brief Whether this host holds the lease at this moment. */
  [[nodiscard]] auto Holds(TimePoint aNow) const -> bool;
  /** \brief Whether commands may go to servers that ignore the token. */
  [[nodiscard]] auto MaySendUnfenced(TimePoint aNow) const -> bool
  {
    return Holds(aNow) && aNow >= heldSince_ + options_.maxCommandDelay_;
  }
  [[nodiscard]] auto Token() const -> FencingToken { return token_; }

private:
  auto Observe(const Row& aRow, TimePoint aNow) -> void;
  auto PrepareWrite(RowVersion aVersion, LeaseRow aRow) -> void;

  Options options_;
  Step underWay_ = Step::Idle;
  TimePoint nextTry_{};
  /** The row as last read, and since when it is unchanged. */
  Row seen_;
  std::optional<TimePoint> seenSince_;
  TimePoint sentAt_{};
  std::optional<TimePoint> validUntil_;
  TimePoint heldSince_{};
  FencingToken token_ = 0;
  RowWrite write_;
  LeaseRow writing_;
};

} // namespace goldcrestcroft
