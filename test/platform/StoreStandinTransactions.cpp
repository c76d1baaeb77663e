#include "StoreStandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace standins {

using namespace goldcrestcroft;
using nlohmann::json;

namespace {

auto IsShortText(const json& aEntry, const char* aField) -> bool
{
  const auto found = aEntry.find(aField);
  return found != aEntry.end() && found->is_string() &&
         found->get_ref<const std::string&>().size() <= StoreLimits::kTextBytes;
}

auto IsRow(const json& aEntry) -> bool
{
  return aEntry.is_object() && IsShortText(aEntry, "table") &&
         IsShortText(aEntry, "part") && IsShortText(aEntry, "key");
}

auto IsWrite(const json& aEntry) -> bool
{
  constexpr auto kMaxEncoded = (StoreLimits::kRowBytes + 2) / 3 * 4;
  if (!IsRow(aEntry)) {
    return false;
  }
  const auto value = aEntry.find("value");
  return value != aEntry.end() && value->is_string() &&
         value->get_ref<const std::string&>().size() <= kMaxEncoded;
}

auto IsExpectation(const json& aEntry) -> bool
{
  return IsRow(aEntry) && aEntry.contains("ver") &&
         aEntry.at("ver").is_number_unsigned();
}

/** Only the operator and the engines write to these tables. */
auto IsReserved(const json& aEntry) -> bool
{
  const auto& table = aEntry.at("table").get_ref<const std::string&>();
  return table == "op" || table == "servers";
}

/** \brief The entries of a transaction. */
struct Entries
{
  json expected_ = json::array();
  json writes_ = json::array();
  json removals_ = json::array();

  [[nodiscard]] auto AreValid() const -> bool
  {
    const auto all = [](const json& aList, auto aIsValid) {
      return aList.is_array() &&
             std::all_of(aList.begin(), aList.end(), aIsValid);
    };
    return all(expected_, IsExpectation) && all(writes_, IsWrite) &&
           all(removals_, IsRow) &&
           expected_.size() + writes_.size() + removals_.size() <=
             StoreLimits::kTransactionEntries;
  }
  [[nodiscard]] auto AreAllowed() const -> bool
  {
    return std::none_of(writes_.begin(), writes_.end(), IsReserved) &&
           std::none_of(removals_.begin(), removals_.end(), IsReserved);
  }
};

auto ReadEntries(const std::string& aBody) -> Entries
{
  const auto call = json::parse(aBody, nullptr, false);
  if (!call.is_object() || aBody.size() > StoreLimits::kTransactionBytes) {
    return { .expected_ = nullptr };
  }
  const auto none = json::array();
  return { .expected_ = call.value("expected_revision", none),
           .writes_ = call.value("writes", none),
           .removals_ = call.value("remove", none) };
}

} // namespace

auto StoreStandin::Transact(Contents& aContents, const std::string& aBody)
  -> ResponsePlan
{
  constexpr auto kInvalid = 400;
  constexpr auto kForbidden = 403;
  constexpr auto kConflict = 412;
  const auto entries = ReadEntries(aBody);
  if (!entries.AreValid()) {
    return Reject(aContents, kInvalid);
  }
  if (!entries.AreAllowed()) {
    return Reject(aContents, kForbidden);
  }
  const std::lock_guard lock(mutex_);
  for (const auto& row : entries.expected_) {
    const auto& known = aContents.tables_[row.at("table")][row.at("key")];
    const auto version = known.removed_ ? 0 : known.version_;
    if (version != row.at("ver").get<std::uint64_t>()) {
      auto conflict =
        Respond(aContents,
                json{ { "ver", aContents.version_ }, { "now_ms", 1 } }.dump());
      conflict.status_ = kConflict;
      return conflict;
    }
  }
  const auto version = ++aContents.version_;
  for (const auto& row : entries.writes_) {
    aContents.tables_[row.at("table")][row.at("key")] = { .value_ =
                                                            row.at("value"),
                                                          .version_ = version };
  }
  for (const auto& row : entries.removals_) {
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

} // namespace standins
