#pragma once

#include "../../Core.h"
#include "Net.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief The tables of the platform's store that this system uses. */
enum class StoreTable
{
  /** The operator's latest configuration. */
  Configuration,
  /** The engines, by id. */
  Engines,
  /** The entry hosts, by name. */
  Hosts,
  /** Requests that are suspected or quarantined, by fingerprint. */
  HeldRequests,
  /** The software versions of the engines, by service. */
  StreamVersions,
  /** The software versions that began streams, by the key of the stream. */
  Streams
};

/** \brief The table's name for logs and metrics. */
auto ToString(StoreTable aTable) -> std::string;

enum class StoreOutcome
{
  Done,
  /** A precondition of the call did not hold. */
  Conflict,
  /** The requested history was dropped; the table has to be read again. */
  HistoryDropped,
  /** The store rejected the call and did nothing. */
  Refused,
  /** No complete reply came; a write may have been applied or may be applied
   * later. */
  Unanswered
};

/** \brief A part of a table: rows in ascending order of their keys. */
struct PageRange
{
  /** First key of the page. */
  std::string from_;
  std::size_t maxRows_ = 500;

  auto operator<=>(const PageRange&) const = default;
};

struct StoreReply
{
  StoreOutcome end_ = StoreOutcome::Unanswered;
  std::vector<StoreRow> rows_;
  /** Newest version of the store at the time of its reply. Its number is set
   * if the call is done, its era with any reply. */
  StoreVersion version_;
  /** Whether further rows follow those of this page. */
  bool truncated_ = false;
  /** Whether the store rejected the call as invalid, so that the same call
   * would be rejected again. */
  bool isInvalidCall_ = false;
  /** Whether the call may have reached the store. */
  bool wasSent_ = true;
  /** Description of the failure, for logs. */
  std::string detail_;
};

/** \brief A row to be written, or to be removed if it has no value. */
struct RowChange
{
  std::string key_;
  std::optional<std::string> value_;
  /** The number of the version that the row must have, 0 if it must not exist;
   * the row is changed in any case if this is not set. */
  std::optional<std::uint64_t> expected_;

  auto operator<=>(const RowChange&) const = default;
};

/** \brief Interface to the platform's store, for one thread. */
class MetadataStore
{
public:
  MetadataStore() = default;
  MetadataStore(const MetadataStore&) = delete;
  auto operator=(const MetadataStore&) -> MetadataStore& = delete;
  virtual ~MetadataStore() = default;

  /** \brief Reads a page of a table; TableScan reads all of them. */
  virtual auto ReadPage(StoreTable aTable, PageRange aRange)
    -> Task<StoreReply> = 0;
  /** \brief Waits up to aWait for rows that changed after aVersion. Ends as
   * HistoryDropped too if there are more than one reply can hold. */
  virtual auto Follow(StoreTable aTable, const StoreVersion& aVersion,
                      Duration aWait) -> Task<StoreReply> = 0;
  /** \brief Ends the pending read of the table, as unanswered, and closes the
   * connection that was kept for the next one. */
  virtual auto Abandon(StoreTable aTable) -> void = 0;
  /** \brief Writes one row that this system owns, or removes it if there is no
   * value. */
  virtual auto Write(StoreTable aTable, std::string aKey,
                     std::optional<std::string> aValue) -> Task<StoreReply> = 0;
  /** \brief Reads one row of a table; the reply has no row if there is none. */
  virtual auto ReadRow(StoreTable aTable, std::string aKey)
    -> Task<StoreReply> = 0;
  /** \brief Makes all changes, of at most kMaxRowChanges rows, or none. Ends as
   * a conflict if a row does not have the expected version. */
  virtual auto Change(StoreTable aTable, std::vector<RowChange> aChanges)
    -> Task<StoreReply> = 0;

  /** The largest number of rows that one call may change. */
  static constexpr std::size_t kMaxRowChanges = 100;
};

} // namespace goldcrestcroft
