#include "StoreStandin.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace standins {

using namespace goldcrestcroft;
using nlohmann::json;

namespace {

auto Encode(const std::string& aValue) -> std::string
{
  std::string text((aValue.size() + 2) / 3 * 4 + 1, '\0');
  const auto size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aValue.data()),
                    static_cast<int>(aValue.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

auto Query(const std::string& aTarget, const std::string& aName) -> std::string
{
  const auto at = aTarget.find(aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto from = at + aName.size() + 1;
  return aTarget.substr(from, aTarget.find('&', from) - from);
}

} // namespace

StoreStandin::StoreStandin(asio::io_context& aContext,
                           const std::string& aAddress)
  : context_(aContext)
  , server_(aContext, aAddress,
            [this](Request aRequest) { return Handle(std::move(aRequest)); })
{
}

auto StoreStandin::AddEndpoint(const std::string& aAddress) -> void
{
  auto& endpoint = *endpoints_.emplace_back(std::make_unique<Endpoint>());
  endpoint.server_ = std::make_unique<HttpServer>(
    context_, aAddress, [this, &endpoint](Request aRequest) {
      return HandleAt(endpoint, std::move(aRequest));
    });
}

auto StoreStandin::HandleAt(Endpoint& aEndpoint, Request aRequest)
  -> Task<ResponsePlan>
{
  ++aEndpoint.calls_;
  auto reaction = co_await Handle(std::move(aRequest));
  switch (aEndpoint.state_.load()) {
    case EndpointState::Busy:
      co_return ResponsePlan{ .status_ = 503 };
    case EndpointState::TooMany:
      co_return ResponsePlan{ .status_ = 429 };
    case EndpointState::Silent: {
      // The caller times out long before.
      asio::steady_timer timer(context_, std::chrono::hours{ 1 });
      co_await timer.async_wait(kAsTuple);
      co_return ResponsePlan{ .drops_ = true };
    }
    case EndpointState::Open:
      break;
  }
  co_return reaction;
}

auto StoreStandin::Put(const std::string& aTable, const std::string& aKey,
                       const std::string& aValue) -> void
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { .value_ = Encode(aValue), .version_ = ++version_ };
}

auto StoreStandin::Remove(const std::string& aTable, const std::string& aKey)
  -> void
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { .version_ = ++version_, .removed_ = true };
}

auto StoreStandin::CountRows(const std::string& aTable) -> std::size_t
{
  const std::lock_guard lock(mutex_);
  const auto& rows = tables_[aTable];
  return static_cast<std::size_t>(
    std::count_if(rows.begin(), rows.end(),
                  [](const auto& aRow) { return !aRow.second.removed_; }));
}

auto StoreStandin::Has(const std::string& aTable, const std::string& aKey)
  -> bool
{
  const std::lock_guard lock(mutex_);
  const auto& table = tables_[aTable];
  const auto row = table.find(aKey);
  return row != table.end() && !row->second.removed_;
}

auto StoreStandin::RowsOf(const std::string& aTable, std::uint64_t aAfter,
                          bool aRemoved) -> std::string
{
  const std::lock_guard lock(mutex_);
  auto rows = json::array();
  for (const auto& [key, row] : tables_[aTable]) {
    if (row.version_ > aAfter && (aRemoved || !row.removed_)) {
      json item{ { "table", aTable },
                 { "part", "" },
                 { "key", key },
                 { "ver", row.version_ } };
      if (row.removed_) {
        item["deleted"] = true;
      } else {
        item["value"] = row.value_;
      }
      rows.push_back(std::move(item));
    }
  }
  return json{
    { "rows", std::move(rows) },
    { "truncated", false },
    { "ver", version_ },
    { "now_ms", 1 }
  }.dump();
}

auto StoreStandin::Transact(const std::string& aBody) -> ResponsePlan
{
  const auto call = json::parse(aBody);
  const std::lock_guard lock(mutex_);
  ++version_;
  for (const auto& row : call.at("writes")) {
    tables_[row.at("table")][row.at("key")] = { .value_ = row.at("value"),
                                                .version_ = version_ };
  }
  for (const auto& row : call.at("remove")) {
    tables_[row.at("table")][row.at("key")] = { .version_ = version_,
                                                .removed_ = true };
  }
  return { .body_ = json{ { "ver", version_ }, { "now_ms", 1 } }.dump(),
           .drops_ = losesAnswers_ };
}

auto StoreStandin::Handle(Request aRequest) -> Task<ResponsePlan>
{
  ++calls_;
  const std::string target(aRequest.target());
  if (busy_) {
    co_return ResponsePlan{ .status_ = 503 };
  }
  if (target.starts_with("/rows-tx")) {
    co_return Transact(aRequest.body());
  }
  const auto table = Query(target, "table");
  if (target.starts_with("/rows-get")) {
    auto body = RowsOf(table, 0, false);
    const auto delay = table == "servers" ? enginesDelayMs_.load() : 0;
    co_return ResponsePlan{ .body_ = std::move(body),
                            .delay_ = std::chrono::milliseconds{ delay } };
  }
  if (historyLost_) {
    co_return ResponsePlan{ .status_ = 410 };
  }
  const auto after = std::stoull(Query(target, "after"));
  auto left = std::stoi(Query(target, "wait_ms"));
  constexpr auto kPollInterval = 5;
  for (; left > 0 && !busy_ && !historyLost_; left -= kPollInterval) {
    auto body = RowsOf(table, after, true);
    if (body.find("\"key\"") != std::string::npos) {
      co_return ResponsePlan{ .body_ = std::move(body) };
    }
    asio::steady_timer timer(context_,
                             std::chrono::milliseconds{ kPollInterval });
    co_await timer.async_wait(kAsTuple);
  }
  auto body = RowsOf(table, after, true);
  co_return ResponsePlan{ .status_ = historyLost_ ? 410
                                     : busy_      ? 503
                                                  : 200,
                          .body_ = std::move(body) };
}

} // namespace standins
