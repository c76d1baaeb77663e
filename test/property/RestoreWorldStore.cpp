#include "RestoreWorld.h"

namespace testing {

using namespace goldcrestcroft;

auto RestoreWorld::Write(StoreRow& aRow, const std::string& aValue) -> void
{
  ++contents_.version_.number_;
  aRow.value_ = aValue;
  aRow.removed_ = aValue.empty();
  aRow.version_ = contents_.version_;
  copies_.emplace_back(clock_.Now(), contents_);
}

auto RestoreWorld::WriteEngine(std::size_t aEngine) -> void
{
  // An engine starts, drains, ends and starts again.
  auto& value = engines_[aEngine];
  value = value.empty() ? std::to_string(++born_[aEngine]) + " ready"
          : value.ends_with("ready")
            ? std::to_string(born_[aEngine]) + " draining"
            : "";
  auto& row = contents_.engines_[IdOf(aEngine)];
  row.key_ = IdOf(aEngine);
  Write(row, value);
}

auto RestoreWorld::Restore() -> void
{
  const auto at = clock_.Now() - Between(100, 6000);
  auto restored = copies_.front().second;
  for (const auto& [madeAt, contents] : copies_) {
    if (madeAt <= at) {
      restored = contents;
    }
  }
  const auto era = contents_.version_.era_ + 1;
  contents_ = restored;
  contents_.version_.era_ = era;
  copies_.emplace_back(clock_.Now(), contents_);
  After(Between(0, 3000), [this] { RewriteAll(); });
}

auto RestoreWorld::RewriteAll() -> void
{
  if (contents_.configuration_.value_ != std::to_string(configuration_)) {
    Write(contents_.configuration_, std::to_string(configuration_));
  }
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    auto& row = contents_.engines_[IdOf(i)];
    row.key_ = IdOf(i);
    if (row.value_ != engines_[i]) {
      Write(row, engines_[i]);
    }
  }
}

auto RestoreWorld::Serve(std::optional<StoreVersion> aAfter) const -> Reply
{
  Reply reply{ .whole_ = !aAfter,
               .version_ = { .era_ = EraOf(contents_.version_.era_),
                             .number_ = contents_.version_.number_ } };
  const auto after = aAfter ? aAfter->number_ : 0;
  reply.historyDropped_ = after > contents_.version_.number_;
  const auto add = [&](std::vector<StoreRow>& aRows, StoreRow aRow) {
    aRow.version_.era_ = reply.version_.era_;
    if (aRow.version_.number_ > after && !(reply.whole_ && aRow.removed_)) {
      aRows.push_back(std::move(aRow));
    }
  };
  for (const auto& [id, row] : contents_.engines_) {
    add(reply.engines_, row);
  }
  add(reply.configuration_, contents_.configuration_);
  return reply;
}

} // namespace testing
