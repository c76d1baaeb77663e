#pragma once

#include "ClearAtEnd.h"
#include "GatewayMetrics.h"
#include "MetadataStore.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace goldcrestcroft {

/** \brief Rows of the platform's store that hold the software versions that
 * began streams, by the key of the stream.
 *
 * Writes are collected while a call is under way, and the calls of all hosts
 * together stay below a rate. One thread. */
class StreamRecords
{
public:
  struct Options
  {
    /** Returns the number of live hosts, this one included. */
    std::function<std::size_t()> hosts_;
    /** Calls a second of all hosts together: half of the 400 writes a second
     * that the platform allows them. */
    double callsPerSecond_ = 200.0;
    /** Further rows are only remembered by this host. */
    std::size_t maxRows_ = 20'000;
    /** First delay between attempts of a call, and the least value of the
     * longest one, which keeps the calls of all hosts below their rate. */
    Duration minRetryDelay_ = std::chrono::milliseconds{ 50 };
    Duration minMaxRetryDelay_ = std::chrono::milliseconds{ 200 };
    /** How long a row is known before it is removed as that of a host that is
     * gone. */
    Duration orphanRetention_ = std::chrono::minutes{ 5 };
  };

  StreamRecords(asio::io_context& aContext, Options aOptions,
                MetadataStore& aStore, GatewayMetrics& aMetrics)
    : context_(aContext)
    , options_(std::move(aOptions))
    , store_(aStore)
    , metrics_(aMetrics)
  {
  }

  /** \brief Writes the row, unless it has that value, and calls aOnStored once
   * the store has confirmed it. The row is removed after aKeepUntil. */
  auto Put(const std::string& aKey, const std::string& aVersion,
           TimePoint aKeepUntil, std::function<void()> aOnStored) -> void;
  /** \brief Whether this host has written a row with the key, or will. */
  [[nodiscard]] auto Has(const std::string& aKey) const -> bool
  {
    return rows_.contains(aKey);
  }
  [[nodiscard]] auto IsEmpty() const -> bool { return rows_.empty(); }
  /** \brief Whether no further row can be written. */
  [[nodiscard]] auto IsFull() const -> bool
  {
    return rows_.size() >= options_.maxRows_;
  }
  /** \brief A version of the row whose write got no reply, so that it may still
   * be applied; none if there is no such version. */
  [[nodiscard]] auto Uncertain(const std::string& aKey) const
    -> std::optional<std::string>;
  /** \brief Whether the store certainly has no row with the key, and will have
   * none unless a call is made. */
  [[nodiscard]] auto CanWithdraw(const std::string& aKey) const -> bool;
  /** \brief Cancels the write of a row if CanWithdraw; returns whether it is.
   */
  auto Withdraw(const std::string& aKey) -> bool;
  [[nodiscard]] auto IsStored(const std::string& aKey,
                              const std::string& aVersion) const -> bool;
  /** \brief Whether the last call failed. */
  [[nodiscard]] auto IsFailing() const -> bool
  {
    return failingSince_.has_value();
  }
  /** \brief For how long all calls have failed; zero if the last one did not.
   */
  [[nodiscard]] auto FailingFor() const -> Duration
  {
    return failingSince_ ? clock_.Now() - *failingSince_ : Duration{};
  }
  /** \brief Reads the version of a stream; the reply has no row if there is
   * none. */
  auto Read(std::string aKey) -> Task<StoreReply>;
  /** \brief The store was restored from an older copy and is in this era: all
   * rows are written again. */
  auto OnStoreRestored(std::uint64_t aEra) -> void;
  /** \brief Removes the rows whose time has passed. */
  auto RemoveExpired(TimePoint aNow) -> void;
  /** \brief Reads all rows, and removes those of hosts that are gone. Returns
   * whether the store may have others. */
  auto RemoveOrphans() -> Task<bool>;

private:
  struct Row
  {
    std::string version_;
    /** What the store contains; unknown after a call without a reply. */
    std::optional<std::string> stored_;
    TimePoint keepUntil_;
    bool removed_ = false;
    /** Whether the row is in pending_. */
    bool pending_ = false;
    /** Whether a call that writes it is under way. */
    bool sending_ = false;
    /** A call that wrote it was not refused, so that the store may have one. */
    bool mayExist_ = false;
    /** Versions whose write got no reply, so that it may be applied later. */
    std::set<std::string> uncertain_;
    std::vector<std::function<void()>> onStored_;
  };

  /** \brief Has the row written or removed, an urgent one before the others. */
  auto Enqueue(const std::string& aKey, Row& aRow, bool aIsUrgent = false)
    -> void;
  /** \brief The changes of the next call; at most kMaxRowChanges. */
  auto TakeChanges() -> std::vector<RowChange>;
  auto OnChanged(const std::vector<RowChange>& aChanges) -> void;
  /** \brief Makes a call, and returns whether the store replied to it: writes
   * what is pending, or reads if there is nothing. */
  auto MakeCall() -> Task<bool>;
  auto OnFailed(const std::vector<RowChange>& aChanges,
                const StoreReply& aReply) -> void;
  [[nodiscard]] auto MaxRetryDelay() const -> Duration;
  /** \brief Makes calls until nothing is pending and the last one succeeded. */
  auto Flush() -> Task<void>;
  auto Pause(Duration aTime) -> Task<void>;

  asio::io_context& context_;
  Options options_;
  MetadataStore& store_;
  GatewayMetrics& metrics_;
  SuspendAwareClock clock_;
  std::map<std::string, Row> rows_;
  /** Keys of the rows that have to be written or removed. */
  std::deque<std::string> pending_;
  bool flushing_ = false;
  /** When the first of the calls began that have failed without a success
   * since. */
  std::optional<TimePoint> failingSince_;
  std::uint64_t era_ = 0;
  /** When the rows of the store that this host did not write were first
   * seen. */
  std::map<std::string, TimePoint> orphans_;
};

} // namespace goldcrestcroft
