#pragma once

#include "../../../Config.h"
#include "../../../Platform.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief A snapshot is saved of each version whose number is a multiple of
 * this. */
inline constexpr VersionNumber kSnapshotEvery = 32;

/** \brief Row that holds the number of the newest version. */
auto HeadKey() -> RowKey;
/** \brief Row that holds the version number of the newest snapshot. */
auto SnapshotKey() -> RowKey;
/** \brief Row that holds one accepted patch. */
auto PatchKey(VersionNumber aNumber) -> RowKey;
auto ToNumber(const std::string& aText) -> VersionNumber;
/** \brief Decodes the patches in the rows. Rows that cannot be decoded are
 * logged and skipped. */
auto DecodePatches(const std::vector<Row>& aRows) -> std::vector<ConfigPatch>;

} // namespace goldcrestcroft
