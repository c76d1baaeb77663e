#include "StoreStandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace standins {

using namespace goldcrestcroft;
using nlohmann::json;

namespace {

/** Bytes of a row in a reply besides its key and value. */
constexpr std::size_t kRowOverhead = 100;

auto MakeRow(const std::string& aTable, const std::string& aKey,
             std::uint64_t aVersion) -> json
{
  return {
    { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aVersion }
  };
}

auto MakeRows(json aRows, bool aTruncated, std::uint64_t aVersion)
  -> std::string
{
  return json{
    { "rows", std::move(aRows) },
    { "truncated", aTruncated },
    { "ver", aVersion },
    { "now_ms", 1 }
  }.dump();
}

} // namespace

auto StoreStandin::ReadPage(Contents& aContents, const StoreCall& aCall)
  -> ResponsePlan
{
  const auto limit =
    aCall.Has("limit") ? aCall.Number("limit") : StoreLimits::kPageRows;
  if (!aCall.Has("table") || !aCall.Has("part") || limit.value_or(0) == 0) {
    return Reject(aContents, 400);
  }
  const auto table = aCall.Text("table");
  const auto isEngines = table == "servers";
  enginePages_ += isEngines ? 1 : 0;
  const KeyRange range{ .from_ = aCall.Text("from"),
                        .to_ = aCall.Has("to") ? std::optional(aCall.Text("to"))
                                               : std::nullopt };
  const auto maxRows = std::min<std::size_t>(*limit, StoreLimits::kPageRows);
  const std::lock_guard lock(mutex_);
  auto rows = json::array();
  std::size_t bytes = 0;
  auto truncated = false;
  for (const auto& [key, row] : aContents.tables_[table]) {
    if (row.removed_ || !range.Contains(key)) {
      continue;
    }
    bytes += key.size() + row.value_.size() + kRowOverhead;
    truncated = rows.size() == maxRows || bytes > StoreLimits::kPageBytes;
    if (truncated) {
      break;
    }
    rows.push_back(MakeRow(table, key, row.version_));
    rows.back()["value"] = row.value_;
  }
  auto response = Respond(
    aContents, MakeRows(std::move(rows), truncated, aContents.version_));
  response.delay_ =
    std::chrono::milliseconds{ isEngines ? enginesDelayMs_.load() : 0 };
  return response;
}

auto StoreStandin::ChangedRows(Contents& aContents, const std::string& aTable,
                               std::uint64_t aAfter) -> ResponsePlan
{
  const std::lock_guard lock(mutex_);
  std::multimap<std::uint64_t, json> changed;
  for (const auto& [key, row] : aContents.tables_[aTable]) {
    if (row.version_ > aAfter) {
      auto item = MakeRow(aTable, key, row.version_);
      if (row.removed_) {
        item["deleted"] = true;
      } else {
        item["value"] = row.value_;
      }
      changed.emplace(row.version_, std::move(item));
    }
  }
  auto rows = json::array();
  for (auto& [version, item] : changed) {
    rows.push_back(std::move(item));
  }
  return Respond(aContents,
                 MakeRows(std::move(rows), false, aContents.version_));
}

auto StoreStandin::FollowChanges(Contents& aContents, StoreCall aCall)
  -> Task<ResponsePlan>
{
  const auto after = aCall.Number("after");
  const auto wait = aCall.Number("wait_ms");
  if (!aCall.Has("table") || !after || !wait ||
      *wait > StoreLimits::kMaxWaitMs) {
    co_return Reject(aContents, 400);
  }
  const auto table = aCall.Text("table");
  constexpr auto kPollInterval = 5;
  for (auto left = static_cast<int>(*wait);; left -= kPollInterval) {
    if (busy_) {
      co_return RespondStatus(aContents, 503);
    }
    if (historyLost_ || LacksVersion(aContents, *after)) {
      co_return RespondStatus(aContents, 410);
    }
    auto response = ChangedRows(aContents, table, *after);
    if (left <= 0 || response.body_.find("\"key\"") != std::string::npos) {
      co_return response;
    }
    asio::steady_timer timer(context_,
                             std::chrono::milliseconds{ kPollInterval });
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace standins
