#include "EngineStandin.h"

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

constexpr auto kNotRun = "Goldcrestcroft-Not-Executed";

} // namespace

auto EngineStandin::RunPieces(const Request& aRequest) -> ResponsePlan
{
  if (trouble_ == Trouble::Full) {
    return { .status_ = 503, .headers_ = { { kNotRun, "1" } } };
  }
  const auto call = json::parse(aRequest.body());
  auto items = json::array();
  ++calls_;
  for (const auto& item : call.at("items")) {
    ++pieces_;
    const auto handle = advertised_ + "/" + std::to_string(nextResult_++);
    results_.insert(handle);
    producedFor_[handle] = item.at("id");
    items.push_back({ { "handle", handle } });
  }
  return { .body_ = json{ { "items", items } }.dump(),
           .delay_ = std::chrono::milliseconds{ callMs_ },
           .duplicatesLast_ = trouble_ == Trouble::Duplicates,
           .duplicateHasId_ = duplicateHasId_ };
}

auto EngineStandin::Release(const Request& aRequest) -> ResponsePlan
{
  const auto call = json::parse(aRequest.body());
  for (const auto& handle : call.at("handles")) {
    results_.erase(handle.get<std::string>());
  }
  return { .body_ = "{}" };
}

} // namespace standins
