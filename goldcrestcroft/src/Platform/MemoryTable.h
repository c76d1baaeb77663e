#pragma once

#include "RowWrite.h"
#include "TableReply.h"

#include <map>

namespace goldcrestcroft {

/** \brief In-memory implementation of the table service's semantics, for
 * embedded hosts, tests and the stand-in service. Not thread-safe. */
class MemoryTable
{
public:
  /** \brief Applies all writes, or none if a condition fails.
   *
   * aNowSeconds is used only to determine which rows have expired and to set
   * expiry times. */
  auto Transact(const std::vector<RowWrite>& aWrites,
                std::uint64_t aNowSeconds = 0) -> TransactReply;

  [[nodiscard]] auto Read(const std::vector<RowKey>& aKeys,
                          std::uint64_t aNowSeconds = 0) const -> ReadReply;

  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

private:
  struct StoredRow
  {
    std::string value_;
    RowVersion version_ = 0;
    std::uint64_t expiresAt_ = 0;
  };

  [[nodiscard]] auto Find(const RowKey& aKey, std::uint64_t aNowSeconds) const
    -> Row;

  std::map<RowKey, StoredRow> rows_;
  RowVersion lastVersion_ = 0;
};

} // namespace goldcrestcroft
