#include "VersionList.h"

#include <algorithm>
#include <charconv>

namespace goldcrestcroft {

VersionList::VersionList(std::vector<std::string> aVersions)
{
  for (auto& version : aVersions) {
    if (!Contains(version)) {
      versions_.push_back(std::move(version));
    }
  }
}

// Each version is preceded by its length, as it may contain any byte.
auto VersionList::Encode() const -> std::string
{
  std::string text;
  for (const auto& version : versions_) {
    text += std::to_string(version.size()) + ":" + version;
  }
  return text;
}

auto VersionList::Decode(std::string_view aText) -> std::optional<VersionList>
{
  std::vector<std::string> versions;
  while (!aText.empty()) {
    std::size_t size = 0;
    const auto [end, error] =
      std::from_chars(aText.data(), aText.data() + aText.size(), size);
    aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
    if (error != std::errc{} || !aText.starts_with(':') ||
        size > aText.size() - 1) {
      return std::nullopt;
    }
    versions.emplace_back(aText.substr(1, size));
    aText.remove_prefix(1 + size);
  }
  return VersionList(std::move(versions));
}

auto VersionList::Contains(const std::string& aVersion) const -> bool
{
  return std::find(versions_.begin(), versions_.end(), aVersion) !=
         versions_.end();
}

auto VersionList::Union(const VersionList& aOther) const -> VersionList
{
  auto versions = versions_;
  versions.insert(versions.end(), aOther.versions_.begin(),
                  aOther.versions_.end());
  return VersionList(std::move(versions));
}

auto VersionList::Without(const std::string& aVersion) const -> VersionList
{
  auto versions = versions_;
  std::erase(versions, aVersion);
  return VersionList(std::move(versions));
}

} // namespace goldcrestcroft
