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

auto Unescape(const std::string& aText) -> std::string
{
  constexpr auto kHexadecimal = 16;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::stoi(aText.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

} // namespace

StoreStandin::StoreStandin(asio::io_context& aContext,
                           const std::string& aAddress)
  : context_(aContext)
  , server_(aContext, aAddress, [this](Request aRequest) {
    return Serve(contents_, std::move(aRequest));
  })
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

auto StoreStandin::CopyContents() -> void
{
  constexpr std::chrono::seconds kMaxAge{ 30 };
  const auto now = std::chrono::steady_clock::now();
  copies_.push_back({ .madeAt_ = now, .contents_ = contents_ });
  // The last one of the older copies still shows the rows at that age.
  while (copies_.size() > 1 && now - copies_[1].madeAt_ > kMaxAge) {
    copies_.pop_front();
  }
}

auto StoreStandin::Restore(std::chrono::milliseconds aAge) -> void
{
  const std::lock_guard lock(mutex_);
  const auto at = std::chrono::steady_clock::now() - aAge;
  const auto later =
    std::find_if(copies_.begin(), copies_.end(),
                 [&](const Copy& aCopy) { return aCopy.madeAt_ > at; });
  const auto era = contents_.era_ + 1;
  replaced_ = std::move(contents_);
  contents_ = later == copies_.begin() ? Contents{} : (later - 1)->contents_;
  contents_.era_ = era;
  copies_.erase(later, copies_.end());
  wasRestored_ = true;
}

auto StoreStandin::RewriteLost() -> void
{
  const std::lock_guard lock(mutex_);
  for (const auto& [table, rows] : written_) {
    for (const auto& [key, row] : rows) {
      auto& known = contents_.tables_[table][key];
      if (known.value_ != row.value_ || known.removed_ != row.removed_) {
        known = row;
        known.version_ = ++contents_.version_;
      }
    }
  }
  CopyContents();
}

auto StoreStandin::Write(const std::string& aTable, const std::string& aKey,
                         Row aRow) -> void
{
  const std::lock_guard lock(mutex_);
  aRow.version_ = ++contents_.version_;
  contents_.tables_[aTable][aKey] = aRow;
  if (aTable == "op" || aTable == "servers") {
    written_[aTable][aKey] = std::move(aRow);
  }
  CopyContents();
}

auto StoreStandin::Put(const std::string& aTable, const std::string& aKey,
                       const std::string& aValue) -> void
{
  Write(aTable, aKey, { .value_ = Encode(aValue) });
}

auto StoreStandin::Remove(const std::string& aTable, const std::string& aKey)
  -> void
{
  Write(aTable, aKey, { .removed_ = true });
}

auto StoreStandin::CountRows(const std::string& aTable) -> std::size_t
{
  const std::lock_guard lock(mutex_);
  const auto& rows = contents_.tables_[aTable];
  return static_cast<std::size_t>(
    std::count_if(rows.begin(), rows.end(),
                  [](const auto& aRow) { return !aRow.second.removed_; }));
}

auto StoreStandin::Has(const std::string& aTable, const std::string& aKey)
  -> bool
{
  const std::lock_guard lock(mutex_);
  const auto& table = contents_.tables_[aTable];
  const auto row = table.find(aKey);
  return row != table.end() && !row->second.removed_;
}

auto StoreStandin::LacksVersion(const Contents& aContents,
                                std::uint64_t aVersion) -> bool
{
  const std::lock_guard lock(mutex_);
  return aVersion > aContents.version_;
}

auto StoreStandin::RowsOf(Contents& aContents, const std::string& aTable,
                          std::uint64_t aAfter, bool aRemoved,
                          const KeyRange& aRange) -> ResponsePlan
{
  const std::lock_guard lock(mutex_);
  auto rows = json::array();
  for (const auto& [key, row] : aContents.tables_[aTable]) {
    if (row.version_ > aAfter && (aRemoved || !row.removed_) &&
        aRange.Contains(key)) {
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
  return Respond(aContents, json{ { "rows", std::move(rows) },
                                  { "truncated", false },
                                  { "ver", aContents.version_ },
                                  { "now_ms", 1 } }
                              .dump());
}

auto StoreStandin::Transact(Contents& aContents, const std::string& aBody)
  -> ResponsePlan
{
  const auto call = json::parse(aBody);
  const std::lock_guard lock(mutex_);
  for (const auto& row : call.at("expected_revision")) {
    const auto& known = aContents.tables_[row.at("table")][row.at("key")];
    const auto version = known.removed_ ? 0 : known.version_;
    if (version != row.at("ver").get<std::uint64_t>()) {
      auto conflict =
        Respond(aContents,
                json{ { "ver", aContents.version_ }, { "now_ms", 1 } }.dump());
      conflict.status_ = 412;
      return conflict;
    }
  }
  const auto version = ++aContents.version_;
  for (const auto& row : call.at("writes")) {
    aContents.tables_[row.at("table")][row.at("key")] = { .value_ =
                                                            row.at("value"),
                                                          .version_ = version };
  }
  for (const auto& row : call.at("remove")) {
    aContents.tables_[row.at("table")][row.at("key")] = { .version_ = version,
                                                          .removed_ = true };
  }
  if (&aContents == &contents_) {
    CopyContents();
  }
  auto response =
    Respond(aContents, json{ { "ver", version }, { "now_ms", 1 } }.dump());
  response.drops_ = losesAnswers_;
  return response;
}

auto StoreStandin::Respond(const Contents& aContents, std::string aBody)
  -> ResponsePlan
{
  return { .headers_ = { { "Store-Era", std::to_string(aContents.era_) } },
           .body_ = std::move(aBody) };
}

auto StoreStandin::RespondStatus(const Contents& aContents, int aStatus)
  -> ResponsePlan
{
  const std::lock_guard lock(mutex_);
  auto response = Respond(aContents, "");
  response.status_ = aStatus;
  return response;
}

auto StoreStandin::Serve(Contents& aContents, Request aRequest)
  -> Task<ResponsePlan>
{
  ++calls_;
  const std::string target(aRequest.target());
  if (busy_) {
    co_return RespondStatus(aContents, 503);
  }
  if (target.starts_with("/rows-tx")) {
    co_return Transact(aContents, aRequest.body());
  }
  const auto table = Query(target, "table");
  if (target.starts_with("/rows-get")) {
    auto response = RowsOf(aContents, table, 0, false,
                           { .from_ = Unescape(Query(target, "from")),
                             .to_ = Unescape(Query(target, "to")) });
    response.delay_ =
      std::chrono::milliseconds{ table == "servers" ? enginesDelayMs_.load()
                                                    : 0 };
    co_return response;
  }
  const auto after = std::stoull(Query(target, "after"));
  auto left = std::stoi(Query(target, "wait_ms"));
  constexpr auto kPollInterval = 5;
  for (;; left -= kPollInterval) {
    if (busy_) {
      co_return RespondStatus(aContents, 503);
    }
    if (historyLost_ || LacksVersion(aContents, after)) {
      co_return RespondStatus(aContents, 410);
    }
    auto response = RowsOf(aContents, table, after, true, {});
    if (left <= 0 || response.body_.find("\"key\"") != std::string::npos) {
      co_return response;
    }
    asio::steady_timer timer(context_,
                             std::chrono::milliseconds{ kPollInterval });
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace standins
