#pragma once

#include "Net.h"

#include <optional>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief What the platform's store keeps for this system. */
enum class StoreTable
{
  /** The operator's newest configuration. */
  Configuration,
  /** The engines, each under its id. */
  Engines,
  /** The entry hosts, each under its name. */
  Hosts,
  /** Requests that are suspected or held back, by fingerprint. */
  HeldRequests
};

/** \brief The table's name for logs and metrics. */
auto ToString(StoreTable aTable) -> std::string;

/** \brief One row, or the word that it was removed. */
struct StoreRow
{
  std::string key_;
  std::string value_;
  std::uint64_t version_ = 0;
  bool removed_ = false;

  auto operator<=>(const StoreRow&) const = default;
};

enum class StoreEnd
{
  Done,
  /** A condition did not hold. */
  Conflict,
  /** The history asked for was dropped: read the table anew. */
  HistoryDropped,
  /** The store said no, and did nothing. */
  Refused,
  /** No whole answer; a write may have been done or be done later. */
  Unanswered
};

struct StoreReply
{
  StoreEnd end_ = StoreEnd::Unanswered;
  std::vector<StoreRow> rows_;
  /** Newest version of the store when it answered. */
  std::uint64_t version_ = 0;
  /** What went wrong, for logs. */
  std::string detail_;
};

/** \brief The platform's store as the control thread calls it. */
class MetadataStore
{
public:
  MetadataStore() = default;
  MetadataStore(const MetadataStore&) = delete;
  auto operator=(const MetadataStore&) -> MetadataStore& = delete;
  virtual ~MetadataStore() = default;

  /** \brief All rows of a table. */
  virtual auto ReadAll(StoreTable aTable) -> Task<StoreReply> = 0;
  /** \brief Waits up to aWait for rows changed after aVersion. */
  virtual auto Follow(StoreTable aTable, std::uint64_t aVersion, Duration aWait)
    -> Task<StoreReply> = 0;
  /** \brief Ends the reading of the table that is under way, as unanswered,
   * and the connection that was kept for the next one. */
  virtual auto Abandon(StoreTable aTable) -> void = 0;
  /** \brief Writes one row of the system's own, or removes it without a
   * value. */
  virtual auto Write(StoreTable aTable, std::string aKey,
                     std::optional<std::string> aValue) -> Task<StoreReply> = 0;
};

} // namespace goldcrestcroft
