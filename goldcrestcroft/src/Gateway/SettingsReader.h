#pragma once

#include "../Core/ObjectReader.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace goldcrestcroft::internal {

/** \brief Reads the settings of a host so that a value which the host can do
 * without never keeps it from starting.
 *
 * What identifies the host must be valid; an error is thrown as ReadFailure. A
 * figure of the wrong type is replaced by its default and one out of range by
 * the nearest bound, with a warning; fractions of whole numbers are dropped. */
class SettingsReader
{
public:
  explicit SettingsReader(const nlohmann::json& aObject)
    : reader_(aObject, "", ErrorKind::InvalidSettings)
  {
  }

  auto RequiredText(const std::string& aKey) -> std::string
  {
    return reader_.Required<std::string>(aKey);
  }
  auto Text(const std::string& aKey, std::string aDefault) -> std::string
  {
    const auto* value = reader_.Find(aKey);
    if (value == nullptr || value->is_string()) {
      return value == nullptr ? aDefault : value->get<std::string>();
    }
    Warn(aKey, fmt::format("is not a text; '{}' is used", aDefault));
    return aDefault;
  }
  /** \brief The texts of a list; other elements are left out. */
  auto Texts(const std::string& aKey) -> std::vector<std::string>
  {
    std::vector<std::string> texts;
    const auto* value = reader_.Find(aKey);
    if (value == nullptr) {
      return texts;
    }
    if (!value->is_array()) {
      Warn(aKey, "is not a list; an empty one is used");
      return texts;
    }
    for (const auto& element : *value) {
      if (element.is_string()) {
        texts.push_back(element.get<std::string>());
      } else {
        Warn(aKey, "has an element that is not a text; it is left out");
      }
    }
    return texts;
  }
  auto Number(const std::string& aKey, double aDefault, double aLow,
              double aHigh) -> double
  {
    const auto* value = reader_.Find(aKey);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number()) {
      Warn(aKey, fmt::format("is not a number; {} is used", aDefault));
      return aDefault;
    }
    const auto number = value->get<double>();
    const auto bounded = std::clamp(number, aLow, aHigh);
    if (bounded != number) {
      Warn(aKey,
           fmt::format("is {}, out of range; {} is used", number, bounded));
    }
    return bounded;
  }
  template<typename Integer>
  auto Whole(const std::string& aKey, Integer aDefault, Integer aLow,
             Integer aHigh) -> Integer
  {
    return static_cast<Integer>(std::floor(
      Number(aKey, static_cast<double>(aDefault), static_cast<double>(aLow),
             static_cast<double>(aHigh))));
  }
  auto Warn(const std::string& aKey, const std::string& aProblem) -> void
  {
    warnings_.push_back(fmt::format("'{}' {}", aKey, aProblem));
  }
  [[noreturn]] auto Reject(const std::string& aKey, const std::string& aProblem,
                           const std::string& aRemedy) const -> void
  {
    reader_.Reject(aKey, aProblem, aRemedy);
  }
  /** \brief All warnings, also about keys that were not read. */
  [[nodiscard]] auto Warnings() const -> std::vector<std::string>
  {
    auto warnings = warnings_;
    for (const auto& key : reader_.UnknownKeys()) {
      warnings.push_back(
        fmt::format("'{}' is not a known key; it is ignored", key));
    }
    return warnings;
  }

private:
  ObjectReader reader_;
  std::vector<std::string> warnings_;
};

} // namespace goldcrestcroft::internal
