#include "../Observability/Log.h"
#include "EnginePool.h"

namespace goldcrestcroft {

auto EnginePool::OnFailure(EngineState& aEngine, EngineFailure aFailure) -> void
{
  const auto now = clock_.Now();
  const auto wasUsable = aEngine.health_.IsUsable(now);
  aEngine.health_.OnFailure(aFailure, now);
  if (wasUsable && !aEngine.health_.IsUsable(now)) {
    Log::Write(LogLevel::Info, "engine_suspended",
               { { "engine", aEngine.entry_.id_ },
                 { "service", aEngine.entry_.service_ },
                 { "reason", ToString(aFailure) },
                 { "for_ms", std::to_string(ToMilliseconds(
                               aEngine.health_.SuspensionLeft(now))) } });
  }
}

} // namespace goldcrestcroft
