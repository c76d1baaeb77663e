#pragma once

#include "../../Core.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace goldcrestcroft {

/** \brief An accepted change: applying operations_ (JSON Patch) to the document
 * of version number_ - 1 gives that of number_. */
struct ConfigPatch
{
  VersionNumber number_ = 0;
  /** Tells apart two patches that strive for the same number. */
  std::string author_;
  /** A JSON Patch as text. */
  std::string operations_;

  auto operator<=>(const ConfigPatch&) const = default;
};

/** \brief The text of the table row that holds a patch. */
auto EncodePatch(const ConfigPatch& aPatch) -> std::string;

/** \brief Fails with Protocol when the text is not a patch row. */
auto DecodePatch(const std::string& aText) -> Result<ConfigPatch>;

} // namespace goldcrestcroft
