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
  HeldRequests
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

struct StoreReply
{
  StoreOutcome end_ = StoreOutcome::Unanswered;
  std::vector<StoreRow> rows_;
  /** Newest version of the store at the time of its reply. Its number is set
   * if the call is done, its era with any reply. */
  StoreVersion version_;
  /** Description of the failure, for logs. */
  std::string detail_;
};

/** \brief Interface to the platform's store for the control thread. */
class MetadataStore
{
public:
  MetadataStore() = default;
  MetadataStore(const MetadataStore&) = delete;
  auto operator=(const MetadataStore&) -> MetadataStore& = delete;
  virtual ~MetadataStore() = default;

  /** \brief Reads all rows of a table, as of one era. */
  virtual auto ReadAll(StoreTable aTable) -> Task<StoreReply> = 0;
  /** \brief Waits up to aWait for rows that changed after aVersion. */
  virtual auto Follow(StoreTable aTable, const StoreVersion& aVersion,
                      Duration aWait) -> Task<StoreReply> = 0;
  /** \brief Ends the pending read of the table, as unanswered, and closes the
   * connection that was kept for the next one. */
  virtual auto Abandon(StoreTable aTable) -> void = 0;
  /** \brief Writes one row that this system owns, or removes it if there is no
   * value. */
  virtual auto Write(StoreTable aTable, std::string aKey,
                     std::optional<std::string> aValue) -> Task<StoreReply> = 0;
};

} // namespace goldcrestcroft
