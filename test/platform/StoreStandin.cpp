#include "StoreStandin.h"

#include <openssl/evp.h>

#include <algorithm>

namespace standins {

using namespace goldcrestcroft;

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

auto StoreStandin::PutAll(const std::string& aTable,
                          const std::map<std::string, std::string>& aRows)
  -> void
{
  const std::lock_guard lock(mutex_);
  const auto version = ++contents_.version_;
  for (const auto& [key, value] : aRows) {
    contents_.tables_[aTable][key] = { .value_ = Encode(value),
                                       .version_ = version };
  }
  CopyContents();
}

auto StoreStandin::RemoveAll(const std::string& aTable,
                             const std::string& aPrefix) -> void
{
  const std::lock_guard lock(mutex_);
  const auto version = ++contents_.version_;
  for (auto& [key, row] : contents_.tables_[aTable]) {
    if (key.starts_with(aPrefix)) {
      row = { .version_ = version, .removed_ = true };
    }
  }
  CopyContents();
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

auto StoreStandin::Reject(const Contents& aContents, int aStatus)
  -> ResponsePlan
{
  ++invalidCalls_;
  return RespondStatus(aContents, aStatus);
}

auto StoreStandin::Serve(Contents& aContents, Request aRequest)
  -> Task<ResponsePlan>
{
  ++calls_;
  const std::string target(aRequest.target());
  if (busy_) {
    co_return RespondStatus(aContents, 503);
  }
  const auto path = StoreCall::PathOf(target);
  const auto isRead = aRequest.method() == http::verb::get;
  if (path == "/rows-tx" && aRequest.method() == http::verb::post) {
    co_return Transact(aContents, aRequest.body());
  }
  if (path == "/rows-get" && isRead) {
    const auto call =
      StoreCall::Parse(target, { "table", "part", "from", "to", "limit" });
    co_return call ? ReadPage(aContents, *call) : Reject(aContents, 400);
  }
  if (path == "/rows-feed" && isRead) {
    auto call = StoreCall::Parse(target, { "table", "after", "wait_ms" });
    if (call) {
      co_return co_await FollowChanges(aContents, std::move(*call));
    }
  }
  co_return Reject(aContents, 400);
}

} // namespace standins
