#pragma once

#include "ConfigPatch.h"
#include "Configuration.h"

#include <memory>
#include <string>

namespace goldcrestcroft {

/** \brief An immutable configuration with its version number and document. */
class ConfigVersion
{
public:
  /** \brief Version 0: the empty configuration. */
  static auto Initial() -> std::shared_ptr<const ConfigVersion>;

  /** \brief Parses a complete document.
   *
   * Fails with InvalidConfiguration if the text is not a valid document. */
  static auto FromDocument(VersionNumber aNumber, const std::string& aDocument)
    -> Result<std::shared_ptr<const ConfigVersion>>;

  /** \brief Returns the next version.
   *
   * Fails with Conflict if the patch is not based on this version or one of its
   * operations does not apply, and with InvalidConfiguration if the resulting
   * document is not valid. */
  [[nodiscard]] auto Apply(const ConfigPatch& aPatch) const
    -> Result<std::shared_ptr<const ConfigVersion>>;

  [[nodiscard]] auto Number() const -> VersionNumber { return number_; }
  [[nodiscard]] auto Document() const -> const std::string&
  {
    return document_;
  }
  [[nodiscard]] auto Content() const -> const Configuration&
  {
    return content_;
  }

private:
  static auto FromJson(VersionNumber aNumber, const nlohmann::json& aDocument)
    -> Result<std::shared_ptr<const ConfigVersion>>;

  VersionNumber number_ = 0;
  std::string document_ = "{}";
  Configuration content_;
};

using ConfigVersionPtr = std::shared_ptr<const ConfigVersion>;

} // namespace goldcrestcroft
