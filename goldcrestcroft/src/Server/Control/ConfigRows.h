#pragma once

#include "../../../Config.h"
#include "../../../Platform.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief A whole document is kept of each version that this divides. */
inline constexpr VersionNumber kSnapshotEvery = 32;

/** \brief Row that holds the newest version's number. */
auto HeadKey() -> RowKey;
/** \brief Row that holds the number of the newest whole document. */
auto SnapshotKey() -> RowKey;
/** \brief Row that holds one accepted patch. */
auto PatchKey(VersionNumber aNumber) -> RowKey;
auto ToNumber(const std::string& aText) -> VersionNumber;
/** \brief The patches of the rows; those that cannot be read are logged and
 * left out. */
auto DecodePatches(const std::vector<Row>& aRows) -> std::vector<ConfigPatch>;

} // namespace goldcrestcroft
