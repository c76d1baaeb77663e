#pragma once

#include "../../Core.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace goldcrestcroft {

/** \brief A change of the configuration: applying operations_ to the document
 * of version number_ - 1 produces the document of version number_. */
struct ConfigPatch
{
  VersionNumber number_ = 0;
  /** Distinguishes patches that compete for the same number. */
  std::string author_;
  /** A JSON Patch (RFC 6902) as text. */
  std::string operations_;

  auto operator<=>(const ConfigPatch&) const = default;
};

/** \brief Encodes a patch as the value of its table row. */
auto EncodePatch(const ConfigPatch& aPatch) -> std::string;

/** \brief Decodes a table row. Fails with Protocol if it is not a patch. */
auto DecodePatch(const std::string& aText) -> Result<ConfigPatch>;

} // namespace goldcrestcroft
