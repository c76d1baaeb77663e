#pragma once

#include "Error.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <set>
#include <string>
#include <vector>

namespace goldcrestcroft::internal {

/** \brief Thrown while a document is read; ReadDocument converts it to a failed
 * Result. */
struct ReadFailure
{
  Error error_;
};

/** \brief Reads one JSON object key by key and verifies that each key is known
 * and that each value has the right type and is within its range.
 *
 * Errors are thrown as ReadFailure. */
class ObjectReader
{
public:
  /** aPath names the object in messages, such as "pools.encoders". */
  ObjectReader(const nlohmann::json& aObject, std::string aPath,
               ErrorKind aKind)
    : object_(aObject)
    , path_(std::move(aPath))
    , kind_(aKind)
  {
    if (!object_.is_object()) {
      Reject("", "is not an object", "write { ... } here");
    }
  }

  template<typename T>
  auto Required(const std::string& aKey) -> T
  {
    if (!object_.contains(aKey)) {
      Reject(aKey, "is missing", "add it");
    }
    return Read<T>(aKey);
  }

  template<typename T>
  auto Optional(const std::string& aKey, T aDefault) -> T
  {
    knownKeys_.insert(aKey);
    return object_.contains(aKey) ? Read<T>(aKey) : aDefault;
  }

  /** \brief A number in [aLow, aHigh], or aDefault if the key is absent. */
  template<typename T>
  auto InRange(const std::string& aKey, T aDefault, T aLow, T aHigh) -> T
  {
    const auto value = Optional<T>(aKey, aDefault);
    if (value < aLow || value > aHigh) {
      Reject(aKey, fmt::format("is {}, out of range", value),
             fmt::format("give a number from {} to {}", aLow, aHigh));
    }
    return value;
  }

  /** \brief The value of aKey, or an empty object if the key is absent. */
  auto Child(const std::string& aKey) -> const nlohmann::json&
  {
    static const nlohmann::json kEmpty = nlohmann::json::object();
    knownKeys_.insert(aKey);
    return object_.contains(aKey) ? object_.at(aKey) : kEmpty;
  }

  /** \brief The value of aKey; none if the key is absent or null. */
  auto Find(const std::string& aKey) -> const nlohmann::json*
  {
    knownKeys_.insert(aKey);
    const auto found = object_.find(aKey);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }

  /** \brief The keys of the object that have not been read. */
  [[nodiscard]] auto UnknownKeys() const -> std::vector<std::string>
  {
    std::vector<std::string> unknown;
    for (const auto& [key, value] : object_.items()) {
      if (!knownKeys_.contains(key)) {
        unknown.push_back(key);
      }
    }
    return unknown;
  }

  /** \brief Fails if the object has a key that has not been read. */
  auto RejectUnknown() const -> void
  {
    for (const auto& key : UnknownKeys()) {
      Reject(key, "is not a known key",
             fmt::format("remove it, or use one of: {}",
                         fmt::join(knownKeys_, ", ")));
    }
  }

  [[nodiscard]] auto PathOf(const std::string& aKey) const -> std::string
  {
    return path_.empty() ? aKey : aKey.empty() ? path_ : path_ + "." + aKey;
  }

  [[noreturn]] auto Reject(const std::string& aKey, const std::string& aProblem,
                           const std::string& aRemedy) const -> void
  {
    throw ReadFailure{ { .kind_ = kind_,
                         .message_ =
                           fmt::format("'{}' {}", PathOf(aKey), aProblem),
                         .remedy_ = aRemedy } };
  }

private:
  template<typename T>
  auto Read(const std::string& aKey) -> T
  {
    knownKeys_.insert(aKey);
    const auto& value = object_.at(aKey);
    if (!HasType<T>(value)) {
      Reject(aKey, fmt::format("has the wrong type ({})", value.type_name()),
             fmt::format("give {}", TypeDescription<T>()));
    }
    try {
      return value.get<T>();
    } catch (const nlohmann::json::exception&) {
      Reject(aKey, "has elements of the wrong type",
             fmt::format("give {}", TypeDescription<T>()));
    }
  }

  template<typename T>
  static auto HasType(const nlohmann::json& aValue) -> bool
  {
    if constexpr (std::is_same_v<T, bool>) {
      return aValue.is_boolean();
    } else if constexpr (std::is_unsigned_v<T>) {
      return aValue.is_number_unsigned();
    } else if constexpr (std::is_integral_v<T>) {
      return aValue.is_number_integer();
    } else if constexpr (std::is_floating_point_v<T>) {
      return aValue.is_number();
    } else if constexpr (std::is_same_v<T, std::string>) {
      return aValue.is_string();
    } else {
      return aValue.is_array();
    }
  }

  template<typename T>
  static auto TypeDescription() -> std::string
  {
    if constexpr (std::is_same_v<T, bool>) {
      return "true or false";
    } else if constexpr (std::is_unsigned_v<T>) {
      return "a whole number that is not negative";
    } else if constexpr (std::is_arithmetic_v<T>) {
      return "a number";
    } else if constexpr (std::is_same_v<T, std::string>) {
      return "a string";
    } else {
      return "a list of strings";
    }
  }

  const nlohmann::json& object_;
  std::string path_;
  ErrorKind kind_;
  std::set<std::string> knownKeys_;
};

/** \brief Runs aRead and converts a ReadFailure to a failed Result. */
template<typename Read>
auto ReadDocument(Read&& aRead) -> Result<decltype(aRead())>
{
  try {
    return aRead();
  } catch (const ReadFailure& failure) {
    return Fail(failure.error_);
  }
}

} // namespace goldcrestcroft::internal
