#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "StageBatcher.h"

namespace goldcrestcroft {

auto StageBatcher::Release(const std::string& aService,
                           const std::vector<std::string>& aHandles) -> void
{
  auto* service = Find(aService);
  if (service == nullptr) {
    return;
  }
  for (const auto& handle : aHandles) {
    const auto address = codec_.ProducerOf(handle);
    for (const auto& [id, engine] : service->engines_) {
      if (engine->state_->entry_.address_ != address) {
        continue;
      }
      engine->toRelease_.push_back(handle);
      if (!engine->releasing_) {
        engine->releasing_ = true;
        asio::co_spawn(context_, SendReleases(engine),
                       LogFailure{ "send_releases" });
      }
    }
  }
}

auto StageBatcher::SendReleases(std::shared_ptr<Engine> aEngine) -> Task<void>
{
  constexpr auto kTimeout = std::chrono::milliseconds{ 1000 };
  const auto pause = aEngine->state_->availability_.BackoffLeft(clock_.Now());
  asio::steady_timer timer(context_,
                           std::max<Duration>(options_.releaseDelay_, pause));
  co_await timer.async_wait(kAsTuple);
  const auto handles = std::exchange(aEngine->toRelease_, {});
  aEngine->releasing_ = false;
  if (aEngine->state_->limit_) {
    co_return; // Permits are kept for calls; unreleased results expire.
  }
  const auto call = codec_.MakeRelease(handles);
  const auto lease = co_await pool_.Open(aEngine->state_);
  if (!lease.connection_) {
    co_return; // Results are lost together with their engine.
  }
  const auto written = co_await WriteCall(lease, call, kTimeout);
  Response response;
  if (written) {
    response = co_await ReadResponse(lease);
  }
  ReturnConnection(lease, response);
  if (response.status_ != 0) {
    for (const auto& handle : handles) {
      aEngine->resultMemory_.Drop(handle);
    }
  } else {
    Log::Write(LogLevel::Info, "stage_release_failed",
               { { "engine", aEngine->state_->entry_.id_ },
                 { "results", std::to_string(handles.size()) } });
  }
}

} // namespace goldcrestcroft
