#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "RequestRun.h"
#include "Traffic.h"

namespace goldcrestcroft {

namespace {

/** When a process ends, all its connections break together; after this delay
 * it is known whether the others broke too. */
constexpr auto kReachabilityCheckDelay = std::chrono::milliseconds{ 100 };

} // namespace

auto Traffic::IsQuarantined(std::uint64_t aFingerprint) const -> bool
{
  return suspects_.LevelOf(aFingerprint, Now()) == SuspectLevel::Quarantined;
}

auto Traffic::OnSuspect(const SuspectNotice& aNotice) -> void
{
  suspects_.Expire(Now());
  suspects_.Merge(aNotice, Now());
  // A copy may have completed here before the request was suspected.
  PublishNotice(suspects_.ClearingIfCompleted(aNotice.request_, Now()));
  if (IsQuarantined(aNotice.request_)) {
    // Copies that wait for their stages get their reply now.
    const auto runs = runs_;
    for (auto* run : runs) {
      run->OnQuarantined(aNotice.request_);
    }
  }
}

auto Traffic::ReportUnansweredRun(const std::vector<LostRun>& aRuns,
                                  bool aBroke,
                                  std::shared_ptr<EngineState> aEngine) -> void
{
  const auto& entry = aEngine->entry_;
  for (const auto& run : aRuns) {
    const UnansweredRun unanswered{ .run_ = run,
                                    .engine_ = entry.id_,
                                    .startedAt_ = entry.startedAt_,
                                    .connectionBroke_ = aBroke };
    crashDetector_.Add(unanswered, Now());
    if (aBroke) {
      // Only broken connections are reported: a crash breaks them, and runs
      // whose callers left are too many to report.
      peerCallbacks_.unanswered_(unanswered);
    }
  }
  if (aBroke && enginesBeingChecked_.insert(aEngine).second) {
    asio::co_spawn(context_, CheckReachability(std::move(aEngine)),
                   LogFailure{ "check_engine" });
  }
}

auto Traffic::CheckReachability(std::shared_ptr<EngineState> aEngine)
  -> Task<void>
{
  asio::steady_timer timer(context_, kReachabilityCheckDelay);
  co_await timer.async_wait(kAsTuple);
  const auto reached = co_await pool_.IsReachable(aEngine);
  enginesBeingChecked_.erase(aEngine);
  if (!reached) {
    ReportLostRuns(crashDetector_.OnUnreachable(aEngine->entry_),
                   "unreachable");
  }
}

auto Traffic::ReportLostRuns(const std::vector<LostRun>& aRuns,
                             const std::string& aWhy) -> void
{
  for (const auto& run : aRuns) {
    metrics_.Count("runs_lost_counted");
    Log::Write(LogLevel::Info, "run_lost_with_engine",
               { { "fingerprint", ToHex(run.request_) },
                 { "kind", ToString(KindOf(run.request_)) },
                 { "run", ToHex(run.run_) },
                 { "why", aWhy },
                 { "ended_ms_ago",
                   std::to_string(ToMilliseconds(Now() - run.ended_)) } });
    peerCallbacks_.lost_(run);
  }
}

auto Traffic::OnEngineResponse(const EngineLease& aLease) -> void
{
  if (crashDetector_.Size() > 0) {
    crashDetector_.OnEngineResponse(aLease.engine_->entry_,
                                    aLease.connection_->OpenedAt(), Now());
  }
}

auto Traffic::OnRequestCompleted(std::uint64_t aFingerprint) -> void
{
  PublishNotice(suspects_.OnCompleted(aFingerprint, Now()));
}

auto Traffic::PublishNotice(const std::optional<SuspectNotice>& aNotice) -> void
{
  if (aNotice) {
    suspects_.Merge(*aNotice, Now());
    peerCallbacks_.suspect_(*aNotice);
  }
}

} // namespace goldcrestcroft
