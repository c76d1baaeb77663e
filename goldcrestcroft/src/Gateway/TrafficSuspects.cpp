#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** Connections of a process that ended break together; by then it is known
 * whether the others did. */
constexpr auto kCheckAfter = std::chrono::milliseconds{ 100 };

} // namespace

auto Traffic::IsHeldBack(std::uint64_t aFingerprint) const -> bool
{
  return suspects_.LevelOf(aFingerprint, Now()) == SuspectLevel::HeldBack;
}

auto Traffic::OnSuspect(const SuspectNotice& aNotice) -> void
{
  suspects_.Expire(Now());
  suspects_.Merge(aNotice, Now());
  // A copy may have run to its end here while nobody asked for that.
  Tell(suspects_.Recall(aNotice.request_, Now()));
  if (IsHeldBack(aNotice.request_)) {
    // Copies that wait for their stages are answered now.
    const auto runs = runs_;
    for (auto* run : runs) {
      run->OnHeldBack(aNotice.request_);
    }
  }
}

auto Traffic::NoteUnanswered(const LostRun& aRun, bool aBroke,
                             std::shared_ptr<EngineState> aEngine) -> void
{
  const auto& entry = aEngine->entry_;
  const UnansweredRun unanswered{ .run_ = aRun,
                                  .engine_ = entry.id_,
                                  .startedAt_ = entry.startedAt_,
                                  .broke_ = aBroke };
  endWatch_.Add(unanswered, Now());
  if (aBroke) {
    // Callers that leave are too many to tell of; engines that end break
    // their connections.
    spread_.unanswered_(unanswered);
  }
  if (aBroke && checked_.insert(aEngine).second) {
    asio::co_spawn(context_, CheckEngine(std::move(aEngine)),
                   LogFailure{ "check_engine" });
  }
}

auto Traffic::CheckEngine(std::shared_ptr<EngineState> aEngine) -> Task<void>
{
  asio::steady_timer timer(context_, kCheckAfter);
  co_await timer.async_wait(kAsTuple);
  const auto reached = co_await pool_.Reaches(aEngine);
  checked_.erase(aEngine);
  if (!reached) {
    CountLost(endWatch_.OnUnreachable(aEngine->entry_), "unreachable");
  }
}

auto Traffic::CountLost(const std::vector<LostRun>& aRuns,
                        const std::string& aWhy) -> void
{
  for (const auto& run : aRuns) {
    metrics_.Count("runs_lost_counted");
    Log::Write(LogLevel::Info, "run_lost_with_engine",
               { { "fingerprint", ToHex(run.request_) },
                 { "run", ToHex(run.run_) },
                 { "why", aWhy },
                 { "ended_ms_ago",
                   std::to_string(ToMilliseconds(Now() - run.ended_)) } });
    spread_.lost_(run);
  }
}

auto Traffic::NoteHeard(const EngineLease& aLease) -> void
{
  if (endWatch_.Size() > 0) {
    endWatch_.OnHeard(aLease.engine_->entry_, aLease.connection_->OpenedAt(),
                      Now());
  }
}

auto Traffic::NoteCompleted(std::uint64_t aFingerprint) -> void
{
  Tell(suspects_.OnCompleted(aFingerprint, Now()));
}

auto Traffic::Tell(const std::optional<SuspectNotice>& aNotice) -> void
{
  if (aNotice) {
    suspects_.Merge(*aNotice, Now());
    spread_.suspect_(*aNotice);
  }
}

} // namespace goldcrestcroft
