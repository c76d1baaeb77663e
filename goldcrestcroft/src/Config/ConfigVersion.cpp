#include "ConfigVersion.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

auto ParseText(const std::string& aText, const std::string& aSubject)
  -> Result<json>
{
  auto parsed = json::parse(aText, nullptr, false, true);
  if (parsed.is_discarded()) {
    return Fail({ .kind_ = ErrorKind::InvalidConfiguration,
                  .message_ = aSubject + " is not JSON",
                  .remedy_ = "send JSON; comments are allowed" });
  }
  return parsed;
}

auto ApplyOperations(const json& aDocument, const json& aOperations)
  -> Result<json>
{
  try {
    return aDocument.patch(aOperations);
  } catch (const json::exception& failure) {
    return Fail(
      { .kind_ = ErrorKind::Conflict,
        .message_ = fmt::format("the patch does not apply: {}", failure.what()),
        .remedy_ = "read the newest version and patch that" });
  }
}

} // namespace

auto ConfigVersion::Initial() -> std::shared_ptr<const ConfigVersion>
{
  return std::make_shared<ConfigVersion>();
}

auto ConfigVersion::FromDocument(VersionNumber aNumber,
                                 const std::string& aDocument)
  -> Result<std::shared_ptr<const ConfigVersion>>
{
  BOOST_LEAF_AUTO(document, ParseText(aDocument, "the configuration"));
  return FromJson(aNumber, document);
}

auto ConfigVersion::FromJson(VersionNumber aNumber, const json& aDocument)
  -> Result<std::shared_ptr<const ConfigVersion>>
{
  BOOST_LEAF_AUTO(content, ParseConfiguration(aDocument));
  auto version = std::make_shared<ConfigVersion>();
  version->number_ = aNumber;
  version->document_ = aDocument.dump();
  version->content_ = std::move(content);
  return std::shared_ptr<const ConfigVersion>(std::move(version));
}

auto ConfigVersion::Apply(const ConfigPatch& aPatch) const
  -> Result<std::shared_ptr<const ConfigVersion>>
{
  if (aPatch.number_ != number_ + 1) {
    return Fail({ .kind_ = ErrorKind::Conflict,
                  .message_ = fmt::format(
                    "the patch makes version {}, but version {} is in force",
                    aPatch.number_, number_),
                  .remedy_ = "read the newest version and patch that" });
  }
  BOOST_LEAF_AUTO(operations, ParseText(aPatch.operations_, "the patch"));
  BOOST_LEAF_AUTO(document,
                  ApplyOperations(json::parse(document_), operations));
  return FromJson(aPatch.number_, document);
}

} // namespace goldcrestcroft
