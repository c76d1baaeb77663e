#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief The software versions of a service's engines, without duplicates, in
 * the order in which they came into use. */
class VersionList
{
public:
  VersionList() = default;
  explicit VersionList(std::vector<std::string> aVersions);

  /** \brief Reads what Encode wrote; none if the text is anything else. */
  static auto Decode(std::string_view aText) -> std::optional<VersionList>;
  [[nodiscard]] auto Encode() const -> std::string;

  [[nodiscard]] auto Versions() const -> const std::vector<std::string>&
  {
    return versions_;
  }
  [[nodiscard]] auto size() const -> std::size_t { return versions_.size(); }
  [[nodiscard]] auto Contains(const std::string& aVersion) const -> bool;
  /** \brief Whether the version is the first. */
  [[nodiscard]] auto IsBase(const std::string& aVersion) const -> bool
  {
    return !versions_.empty() && versions_.front() == aVersion;
  }
  /** \brief This list and, after it, what only the other one contains. */
  [[nodiscard]] auto Union(const VersionList& aOther) const -> VersionList;
  [[nodiscard]] auto Without(const std::string& aVersion) const -> VersionList;

  auto operator<=>(const VersionList&) const = default;

private:
  std::vector<std::string> versions_;
};

} // namespace goldcrestcroft
