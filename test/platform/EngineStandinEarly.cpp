#include "EngineStandin.h"
#include "RequestIdMark.h"

namespace standins {

using namespace goldcrestcroft;

auto EngineStandin::HandleHead(const Request& aHead)
  -> std::optional<EarlyResponse>
{
  const std::lock_guard lock(mutex_);
  const std::string length(aHead[http::field::content_length]);
  if (!early_ || length.empty() || std::stoul(length) < earlyMinBytes_) {
    return std::nullopt;
  }
  if (early_->onlyResumed_ && aHead["Last-Event-Id"].empty()) {
    return std::nullopt;
  }
  const std::string id(aHead["Goldcrestcroft-Request-Id"]);
  ++runs_[id];
  ++receivedCount_;
  auto response = *early_;
  response.bytes_ = WithId(response.bytes_, id);
  return response;
}

} // namespace standins
