#include "../Observability/Log.h"
#include "EngineExchange.h"
#include "EnginePool.h"

#include <sstream>

namespace goldcrestcroft {

namespace {

/** Status of a response of another engine than the intended one. */
constexpr auto kMisdirectedRequest = 421;
constexpr auto kFirstServerError = 500;

} // namespace

auto EnginePool::OnFailure(EngineState& aEngine, EngineFailure aFailure,
                           TimePoint aBegan) -> void
{
  const auto now = clock_.Now();
  const auto wasUsable = aEngine.health_.IsUsable(now);
  aEngine.health_.OnFailure(aFailure, aBegan, now);
  if (wasUsable && !aEngine.health_.IsUsable(now)) {
    Log::Write(LogLevel::Info, "engine_suspended",
               { { "engine", aEngine.entry_.id_ },
                 { "service", aEngine.entry_.service_ },
                 { "reason", ToString(aFailure) },
                 { "for_ms", std::to_string(ToMilliseconds(
                               aEngine.health_.SuspensionLeft(now))) } });
  }
  if (aEngine.health_.IsSilent()) {
    options_.onSilent_(aEngine.entry_);
  }
}

auto EnginePool::IsResponding(std::shared_ptr<EngineState> aEngine,
                              std::string aHealthPath, Duration aTimeout)
  -> Task<bool>
{
  const auto& entry = aEngine->entry_;
  const auto& names = options_.headers_;
  const auto connection = std::make_shared<EngineConnection>(context_);
  const EngineLease lease{ .engine_ = aEngine, .connection_ = connection };
  ++aEngine->openConnections_;
  const auto error = co_await connection->Connect(
    entry.address_, std::min(options_.connectTimeout_, aTimeout));
  auto responds = !error && aHealthPath.empty();
  if (!error && !responds) {
    connection->CloseAfter(aTimeout);
    http::request<http::empty_body> request(http::verb::get,
                                            ToRequestTarget(aHealthPath), 11);
    request.set(http::field::host, entry.address_);
    request.set(names.expectEngine_, entry.id_);
    std::ostringstream bytes;
    bytes << request;
    auto text = std::move(bytes).str();
    if (co_await connection->BeginWrite(std::move(text))) {
      EngineExchange exchange(lease, names, memory_);
      const auto end = co_await exchange.ReadHead("", false);
      const auto& head = exchange.Head();
      // A full engine refuses the call as it would a request.
      responds = end == ReadOutcome::Done &&
                 head.status_ != kMisdirectedRequest &&
                 (head.status_ < kFirstServerError || head.notRun_);
      if (responds) {
        UpdateAvailability(lease, exchange.Head());
      }
    }
  }
  Drop(lease);
  co_return responds;
}

} // namespace goldcrestcroft
