#include "StoreCall.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace standins {

namespace {

auto IsVisible(char aCharacter) -> bool
{
  return aCharacter > 0x20 && aCharacter < 0x7f;
}

/** The decoded text; none if a percent sign does not begin an escape. */
auto Decode(std::string_view aText) -> std::optional<std::string>
{
  constexpr auto kHexadecimal = 16;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      text += aText[i] == '+' ? ' ' : aText[i];
      continue;
    }
    const auto digits = aText.substr(i + 1, 2);
    unsigned byte = 0;
    const auto* end = digits.data() + digits.size();
    const auto [stop, error] =
      std::from_chars(digits.data(), end, byte, kHexadecimal);
    if (digits.size() != 2 || error != std::errc{} || stop != end) {
      return std::nullopt;
    }
    text += static_cast<char>(byte);
    i += 2;
  }
  return text;
}

auto IsText(const std::string& aText) -> bool
{
  // A JSON string holds any UTF-8 text once it is escaped.
  using Handler = nlohmann::json::error_handler_t;
  const auto replaced =
    nlohmann::json(aText).dump(-1, ' ', false, Handler::ignore);
  return aText.size() <= StoreLimits::kTextBytes &&
         nlohmann::json::parse(replaced).get<std::string>() == aText;
}

} // namespace

auto StoreCall::PathOf(const std::string& aTarget) -> std::string
{
  return aTarget.substr(0, aTarget.find('?'));
}

auto StoreCall::Parse(const std::string& aTarget,
                      const std::set<std::string>& aNames)
  -> std::optional<StoreCall>
{
  if (!std::all_of(aTarget.begin(), aTarget.end(), IsVisible) ||
      aTarget.find('#') != std::string::npos) {
    return std::nullopt;
  }
  StoreCall call;
  auto query = std::string_view(aTarget).substr(
    std::min(aTarget.find('?'), aTarget.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto item = query.substr(0, query.find('&'));
    const auto equals = std::min(item.find('='), item.size());
    const auto name = Decode(item.substr(0, equals));
    const auto value = Decode(item.substr(std::min(equals + 1, item.size())));
    if (!name || !value || !aNames.contains(*name) || !IsText(*value) ||
        !call.parameters_.emplace(*name, *value).second) {
      return std::nullopt;
    }
    query.remove_prefix(item.size());
  }
  return call;
}

auto StoreCall::Text(const std::string& aName) const -> std::string
{
  const auto found = parameters_.find(aName);
  return found == parameters_.end() ? "" : found->second;
}

auto StoreCall::Number(const std::string& aName) const
  -> std::optional<std::uint64_t>
{
  const auto text = Text(aName);
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && stop == end ? std::optional(number)
                                             : std::nullopt;
}

} // namespace standins
