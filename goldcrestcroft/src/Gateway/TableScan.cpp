#include "TableScan.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** A page repeats the last row of the one before it. */
constexpr std::size_t kMinPageRows = 2;

auto SizeOf(const StoreRow& aRow) -> std::size_t
{
  return aRow.key_.size() + aRow.value_.size();
}

} // namespace

auto TableScan::Position() const -> std::string
{
  return "page " + std::to_string(pagesRead_ + 1) + " from key '" + from_ +
         "', after " + std::to_string(rowsRead_) + " rows";
}

auto TableScan::StartOver(std::string aReason) -> StoreReply
{
  StoreReply failure{ .end_ = StoreOutcome::Unanswered,
                      .detail_ = std::move(aReason) + "; " + Position() };
  *this = TableScan(std::move(options_));
  return failure;
}

auto TableScan::OnFailure(StoreReply aReply) -> StoreReply
{
  aReply.detail_ += "; " + Position();
  if (aReply.end_ == StoreOutcome::HistoryDropped) {
    *this = TableScan(std::move(options_));
  } else if (aReply.isInvalidCall_) {
    // The same call would be rejected again. A shorter page before it ends at
    // another key.
    from_ = previousFrom_;
    pageRows_ = std::max(pageRows_ / 2, kMinPageRows);
  }
  return aReply;
}

auto TableScan::Add(StoreRow aRow) -> void
{
  ++rowsRead_;
  if (const auto known = rows_.find(aRow.key_); known != rows_.end()) {
    bytes_ -= SizeOf(known->second);
    rows_.erase(known);
  }
  if (options_.keep_(aRow)) {
    bytes_ += SizeOf(aRow);
    auto key = aRow.key_;
    rows_.emplace(std::move(key), std::move(aRow));
  }
}

auto TableScan::Complete() -> StoreReply
{
  StoreReply table{ .end_ = StoreOutcome::Done,
                    .version_ = version_.value_or(StoreVersion{}) };
  rowsKept_ = rows_.size();
  for (auto& [key, row] : rows_) {
    table.rows_.push_back(std::move(row));
  }
  rows_.clear();
  return table;
}

auto TableScan::OnPage(StoreReply aPage) -> std::optional<StoreReply>
{
  if (aPage.end_ != StoreOutcome::Done) {
    return OnFailure(std::move(aPage));
  }
  if (version_ && version_->era_ != aPage.version_.era_) {
    aPage.end_ = StoreOutcome::HistoryDropped;
    aPage.rows_.clear();
    return OnFailure(std::move(aPage));
  }
  // Changes that are made between two pages come again after the version of the
  // first one.
  version_ = version_.value_or(aPage.version_);
  auto last = aPage.rows_.empty() ? "" : aPage.rows_.back().key_;
  for (auto& row : aPage.rows_) {
    Add(std::move(row));
  }
  ++pagesRead_;
  if (!aPage.truncated_) {
    return Complete();
  }
  if (last <= from_) {
    return StartOver("the page does not advance");
  }
  if (bytes_ > options_.maxBytes_) {
    return StartOver("the table has more than " +
                     std::to_string(options_.maxBytes_) + " bytes of interest");
  }
  if (pagesRead_ >= options_.maxPages_) {
    return StartOver("the table has more than " +
                     std::to_string(options_.maxPages_) + " pages");
  }
  previousFrom_ = std::exchange(from_, std::move(last));
  pageRows_ = std::min(pageRows_ * 2, options_.maxPageRows_);
  return std::nullopt;
}

auto ReadTable(MetadataStore& aStore, StoreTable aTable, TableScan& aScan)
  -> Task<StoreReply>
{
  for (;;) {
    auto page = co_await aStore.ReadPage(aTable, aScan.Next());
    if (auto end = aScan.OnPage(std::move(page))) {
      co_return std::move(*end);
    }
  }
}

} // namespace goldcrestcroft
