#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

namespace standins {

/** \brief Limits that the platform's page states for calls to its store. */
struct StoreLimits
{
  static constexpr std::size_t kTextBytes = 200;
  static constexpr std::size_t kPageRows = 500;
  static constexpr std::size_t kPageBytes = 1U << 20U;
  static constexpr std::size_t kRowBytes = 65'536;
  static constexpr std::size_t kTransactionEntries = 100;
  static constexpr std::size_t kTransactionBytes = 1U << 20U;
  static constexpr std::uint64_t kMaxWaitMs = 30'000;
};

/** \brief Path and decoded parameters of a call. */
class StoreCall
{
public:
  /** \brief Parses a target; none if it is not a valid one: control characters
   * or spaces, invalid percent-encoding, parameters that are not among aNames
   * or come twice, or texts that are too long or not UTF-8. */
  static auto Parse(const std::string& aTarget,
                    const std::set<std::string>& aNames)
    -> std::optional<StoreCall>;
  static auto PathOf(const std::string& aTarget) -> std::string;

  [[nodiscard]] auto Has(const std::string& aName) const -> bool
  {
    return parameters_.contains(aName);
  }
  /** \brief The parameter's value; empty if it is absent. */
  [[nodiscard]] auto Text(const std::string& aName) const -> std::string;
  /** \brief The parameter as a number; none if it is not one. */
  [[nodiscard]] auto Number(const std::string& aName) const
    -> std::optional<std::uint64_t>;

private:
  std::map<std::string, std::string> parameters_;
};

} // namespace standins
