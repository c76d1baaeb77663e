#pragma once

#include "../../Platform.h"

#include <optional>

namespace goldcrestcroft {

/** \brief Grows with each new holder of a lease; orders carry it. */
using FencingToken = std::uint64_t;

/** \brief A lease row in the table service. */
struct LeaseRow
{
  HostId holder_;
  FencingToken token_ = 0;
  /** Each renewal counts one up; observers time the lease by it. */
  std::uint64_t renewals_ = 0;

  auto operator<=>(const LeaseRow&) const = default;
};

auto EncodeLeaseRow(const LeaseRow& aRow) -> std::string;
auto DecodeLeaseRow(const std::string& aText) -> Result<LeaseRow>;

/** \brief Takes part in the contest for one lease.
 *
 * No clock is shared: an observer counts the lease as lapsed once the row has
 * not changed for the term on the observer's own clock; the holder counts its
 * own from before the renewal was sent. A holder that pauses believes nothing
 * afterwards, for Holds looks at the clock each time; servers that check the
 * token refuse what it sent too late. For servers that ignore the token, a new
 * holder waits out the old one's longest delay. */
class Lease
{
public:
  struct Options
  {
    HostId self_;
    RowKey row_;
    Duration term_ = std::chrono::seconds{ 6 };
    Duration renewEvery_ = std::chrono::seconds{ 2 };
    /** Longest time an order of the old holder may still be on its way. */
    Duration settle_ = std::chrono::seconds{ 4 };
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

  /** \brief What to do with the table now. One call is under way at a time. */
  auto Tick(TimePoint aNow) -> Step;
  /** \brief The call that is due or under way. After OnRead this may be Write:
   * send PendingWrite at once. */
  [[nodiscard]] auto UnderWay() const -> Step { return underWay_; }
  /** \brief The write for Step::Write. */
  [[nodiscard]] auto PendingWrite() const -> const RowWrite& { return write_; }

  auto OnRead(const ReadReply& aReply, TimePoint aNow) -> void;
  auto OnWritten(const TransactReply& aReply, TimePoint aNow) -> void;

  /** \brief Whether this host holds the lease at this moment. */
  [[nodiscard]] auto Holds(TimePoint aNow) const -> bool;
  /** \brief Whether orders may go to servers that ignore the token. */
  [[nodiscard]] auto MayOrderUnfenced(TimePoint aNow) const -> bool
  {
    return Holds(aNow) && aNow >= heldSince_ + options_.settle_;
  }
  [[nodiscard]] auto Token() const -> FencingToken { return token_; }

private:
  auto Observe(const Row& aRow, TimePoint aNow) -> void;
  auto PrepareWrite(RowVersion aVersion, LeaseRow aRow) -> void;

  Options options_;
  Step underWay_ = Step::Idle;
  TimePoint nextTry_{};
  /** The row as last seen and since when it is unchanged. */
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
