#include "ConfigPatch.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

auto EncodePatch(const ConfigPatch& aPatch) -> std::string
{
  return nlohmann::json{
    { "number", aPatch.number_ },
    { "author", aPatch.author_ },
    { "operations", aPatch.operations_ }
  }.dump();
}

auto DecodePatch(const std::string& aText) -> Result<ConfigPatch>
{
  try {
    const auto row = nlohmann::json::parse(aText);
    return ConfigPatch{ .number_ = row.at("number"),
                        .author_ = row.at("author"),
                        .operations_ = row.at("operations") };
  } catch (const nlohmann::json::exception& failure) {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = std::string("configuration row unreadable: ") +
                              failure.what(),
                  .remedy_ = "restore the row in the table service" });
  }
}

} // namespace goldcrestcroft
