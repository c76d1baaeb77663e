#include "ConfigRows.h"

#include "../../Observability/Log.h"

#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

constexpr auto kConfigTable = "config";

} // namespace

auto HeadKey() -> RowKey
{
  return { .table_ = kConfigTable, .key_ = "head" };
}

auto SnapshotKey() -> RowKey
{
  return { .table_ = kConfigTable, .key_ = "snapshot" };
}

auto PatchKey(VersionNumber aNumber) -> RowKey
{
  return { .table_ = kConfigTable, .key_ = fmt::format("{:012}", aNumber) };
}

auto ToNumber(const std::string& aText) -> VersionNumber
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

auto DecodePatches(const std::vector<Row>& aRows) -> std::vector<ConfigPatch>
{
  std::vector<ConfigPatch> patches;
  for (const auto& row : aRows) {
    Handle(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(patch, DecodePatch(row.value_));
        patches.push_back(std::move(patch));
        return {};
      },
      [](const Error& aError) {
        Log::Write(LogLevel::Error, "configuration row unreadable",
                   { { "reason", aError.message_ } });
      });
  }
  return patches;
}

} // namespace goldcrestcroft
