#pragma once

#include "RowWrite.h"
#include "TableReply.h"

#include <map>

namespace goldcrestcroft {

/** \brief The table service's semantics in memory: for an embedded host, tests
 * and the stand-in. Not safe for several threads. */
class MemoryTable
{
public:
  /** \brief All writes take effect, or none where a condition fails.
   * aNowSeconds only dates the expiry of rows. */
  auto Transact(const std::vector<RowWrite>& aWrites,
                std::uint64_t aNowSeconds = 0) -> TransactReply;

  [[nodiscard]] auto Read(const std::vector<RowKey>& aKeys,
                          std::uint64_t aNowSeconds = 0) const -> ReadReply;

  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

private:
  struct Stored
  {
    std::string value_;
    RowVersion version_ = 0;
    std::uint64_t expiresAt_ = 0;
  };

  [[nodiscard]] auto Find(const RowKey& aKey, std::uint64_t aNowSeconds) const
    -> Row;

  std::map<RowKey, Stored> rows_;
  RowVersion lastVersion_ = 0;
};

} // namespace goldcrestcroft
