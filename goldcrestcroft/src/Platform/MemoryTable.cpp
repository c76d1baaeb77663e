#include "MemoryTable.h"

namespace goldcrestcroft {

auto MemoryTable::Find(const RowKey& aKey, std::uint64_t aNowSeconds) const
  -> Row
{
  const auto found = rows_.find(aKey);
  if (found == rows_.end()) {
    return { .key_ = aKey };
  }
  const auto& stored = found->second;
  if (stored.expiresAt_ != 0 && stored.expiresAt_ <= aNowSeconds) {
    return { .key_ = aKey };
  }
  return { .key_ = aKey, .value_ = stored.value_, .version_ = stored.version_ };
}

auto MemoryTable::Transact(const std::vector<RowWrite>& aWrites,
                           std::uint64_t aNowSeconds) -> TransactReply
{
  TransactReply reply;
  for (const auto& write : aWrites) {
    auto row = Find(write.key_, aNowSeconds);
    if (write.expected_ && *write.expected_ != row.version_) {
      reply.conflicts_.push_back(std::move(row));
    }
  }
  if (!reply.conflicts_.empty()) {
    reply.status_ = TableStatus::Conflict;
    return reply;
  }
  for (const auto& write : aWrites) {
    reply.versions_.push_back(++lastVersion_);
    if (!write.value_) {
      rows_.erase(write.key_);
      continue;
    }
    const auto expiry = write.expiresAfterSeconds_ == 0
                          ? 0
                          : aNowSeconds + write.expiresAfterSeconds_;
    rows_[write.key_] = { .value_ = *write.value_,
                          .version_ = lastVersion_,
                          .expiresAt_ = expiry };
  }
  reply.status_ = TableStatus::Done;
  return reply;
}

auto MemoryTable::Read(const std::vector<RowKey>& aKeys,
                       std::uint64_t aNowSeconds) const -> ReadReply
{
  ReadReply reply{ .status_ = TableStatus::Done };
  for (const auto& key : aKeys) {
    auto row = Find(key, aNowSeconds);
    if (row.version_ != 0) {
      reply.rows_.push_back(std::move(row));
    }
  }
  return reply;
}

} // namespace goldcrestcroft
