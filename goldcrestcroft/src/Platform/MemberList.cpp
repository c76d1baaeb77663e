#include "MemberList.h"

#include <nlohmann/json.hpp>

namespace goldcrestcroft {

auto DecodeMemberList(const std::string& aBody)
  -> Result<std::vector<ListedMember>>
{
  try {
    std::vector<ListedMember> members;
    const auto document = nlohmann::json::parse(aBody);
    for (const auto& item : document.at("members")) {
      members.push_back(
        { .id_ = item.at("id"),
          .leaving_ = item.at("state").get<std::string>() == "leaving" });
    }
    return members;
  } catch (const nlohmann::json::exception& failure) {
    return Fail({ .kind_ = ErrorKind::Protocol,
                  .message_ = std::string("membership list unreadable: ") +
                              failure.what(),
                  .remedy_ = "check the membership list's address" });
  }
}

} // namespace goldcrestcroft
