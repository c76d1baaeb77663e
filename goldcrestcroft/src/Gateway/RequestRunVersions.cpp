#include "../Observability/Log.h"
#include "RequestRun.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** The first event of a stream waits this long for the store before another
 * engine is tried, whose version needs no record. */
constexpr Duration kMinRecordWait = std::chrono::milliseconds{ 400 };
/** How often a waiting stream checks whether its version is registered. */
constexpr Duration kRecordCheckInterval = std::chrono::milliseconds{ 20 };
/** An engine that has started again writes its entry, and one that has not
 * loses its entry, within a few of its heartbeat intervals. */
constexpr Duration kMaxReplacementTime = std::chrono::seconds{ 10 };

} // namespace

auto RequestRun::ReadResumption() -> void
{
  const auto& names = traffic_.Codec().Headers();
  resumesStream_ = route_->kind_ == RouteKind::Streaming &&
                   route_->resumable_ && !Field(names.lastEventId_).empty();
  if (resumesStream_) {
    relay_.BeginAfter(Field(names.lastEventId_));
  }
  if (resumesStream_ && request_.count(names.resumes_) == 1) {
    resumedAttempt_ = Field(names.resumes_);
  }
}

auto RequestRun::MayBeginStream() const -> bool
{
  return route_->kind_ == RouteKind::Streaming && route_->resumable_ &&
         !resumesStream_ && !streamBegun_;
}

auto RequestRun::IdOfStream() const -> StreamId
{
  return { .service_ = service_,
           .workspace_ = workspace_,
           .attempt_ = resumesStream_ ? resumedAttempt_ : requestId_ };
}

auto RequestRun::FindVersion() -> Task<std::optional<LocalReply>>
{
  const auto self = shared_from_this();
  origin_ = co_await traffic_.Versions().FindOrigin(IdOfStream());
  if (!origin_.version_) {
    co_return LocalReply{ .reason_ = "stream_version_unknown",
                          .message_ = "it is not known which software version "
                                      "began this stream",
                          .retryAfter_ = traffic_.Options().retryAfter_ };
  }
  const auto& engines = traffic_.Pool().Engines();
  if (!engines.HasVersion(service_, *origin_.version_)) {
    co_return LocalReply{ .reason_ = "stream_version_gone",
                          .message_ = "no engine has the software version that "
                                      "began this stream",
                          .retryAfter_ = traffic_.Options().retryAfter_ };
  }
  co_return std::nullopt;
}

auto RequestRun::IsOtherVersion(const EngineState& aEngine) const -> bool
{
  const auto& only = origin_.version_ ? origin_.version_ : onlyVersion_;
  return only && aEngine.entry_.version_ != *only;
}

auto RequestRun::FitsVersion(const EngineState& aEngine) -> bool
{
  const auto& entry = aEngine.entry_;
  if (!origin_.version_ && !MayBeginStream()) {
    return true;
  }
  // A process that has taken the address over may have another version. Engines
  // of older deployments do not tell when they started.
  const auto isReplaced =
    entry.startedAt_ != 0 && aEngine.refusedAt_ &&
    traffic_.Now() - *aEngine.refusedAt_ < kMaxReplacementTime;
  return !isReplaced && !IsOtherVersion(aEngine) &&
         (origin_.version_ ||
          traffic_.Versions().CanBeKnown(service_, entry.version_));
}

auto RequestRun::TimeUntilFirstEventDue() const -> Duration
{
  const auto due = arrivedAt_ + CallerTimeout{}.FirstEventTimeout(*route_);
  return std::min(due, deadline_) - traffic_.Now();
}

auto RequestRun::MayServe(const EngineState& aEngine, bool aIsAnyVersion)
  -> bool
{
  return FitsVersion(aEngine) ||
         (aIsAnyVersion && !origin_.version_ && !IsOtherVersion(aEngine) &&
          traffic_.Versions().MayBecomeKnown(service_, aEngine.entry_.version_,
                                             TimeUntilFirstEventDue()));
}

auto RequestRun::IsUnrecordable() const -> bool
{
  const auto& engines = traffic_.Pool().Engines().EnginesOf(service_);
  return MayBeginStream() && !engines.empty() &&
         std::none_of(engines.begin(), engines.end(), [&](const auto& aEntry) {
           const auto& versions = traffic_.Versions();
           return versions.CanBeKnown(service_, aEntry.version_) ||
                  versions.MayBecomeKnown(service_, aEntry.version_,
                                          TimeUntilFirstEventDue());
         });
}

auto RequestRun::PrepareStream(const EngineEntry& aEngine) -> void
{
  if (MayBeginStream()) {
    traffic_.Versions().Prepare(IdOfStream(), aEngine.version_, TimeLeft(),
                                [weak = weak_from_this()] {
                                  if (const auto self = weak.lock()) {
                                    self->wake_.cancel();
                                  }
                                });
  }
}

auto RequestRun::TryLeaveUnrecorded() -> bool
{
  const auto stream = IdOfStream();
  if (!traffic_.Versions().CanLeaveForBase(stream) || !HasAttemptsLeft() ||
      IsQuarantined()) {
    return false;
  }
  // While writes fail, only the base version needs no record.
  std::vector<EngineEntry> entries;
  if (FilterEngines(entries, false, {}, false).empty()) {
    return false;
  }
  retryReserved_ = retryReserved_ || traffic_.TryTakeRetry(service_);
  return retryReserved_ && traffic_.Versions().Withdraw(stream);
}

auto RequestRun::AwaitStreamKnown(const EngineEntry& aEngine)
  -> Task<std::optional<AttemptOutcome>>
{
  if (!MayBeginStream()) {
    co_return std::nullopt;
  }
  const auto self = shared_from_this();
  const auto stream = IdOfStream();
  const auto version = aEngine.version_;
  auto& versions = traffic_.Versions();
  // The last attempt may have been at an engine of another version.
  PrepareStream(aEngine);
  const auto heldSince = traffic_.Now();
  auto outcome = std::optional<AttemptOutcome>();
  while (aborted_ == Aborted::No && !outcome &&
         !versions.IsKnownToAll(stream, version) &&
         !versions.HasWaited(service_, version)) {
    const auto now = traffic_.Now();
    if (now - heldSince >= kMinRecordWait && TryLeaveUnrecorded()) {
      outcome = AttemptOutcome::Unrecorded;
    } else if (!versions.MayBecomeKnown(service_, version,
                                        TimeUntilFirstEventDue())) {
      versions.Withdraw(stream);
      // At the base version, that was all that kept the stream from beginning.
      if (!versions.IsKnownToAll(stream, version)) {
        outcome = AttemptOutcome::Unrecorded;
      }
    } else {
      co_await WaitUntil(now + kRecordCheckInterval);
    }
  }
  if (aborted_ != Aborted::No) {
    co_return AttemptOutcome::Abandoned;
  }
  const auto isRecorded = versions.IsKnownToAll(stream, version);
  if (!isRecorded) {
    traffic_.Metrics().Count(outcome ? "streams_given_up_unrecorded"
                                     : "streams_not_recorded");
    Log::Write(LogLevel::Warning,
               outcome ? "stream_given_up_unrecorded" : "stream_not_recorded",
               { { "request", requestId_ },
                 { "service", service_ },
                 { "version", version },
                 { "held_ms", std::to_string(ToMilliseconds(traffic_.Now() -
                                                            heldSince)) } });
  }
  if (outcome) {
    co_return outcome;
  }
  origin_ = { .version_ = version, .source_ = "own" };
  versions.OnBegun(stream, version, TimeLeft());
  co_return std::nullopt;
}

auto RequestRun::CountTakeUp(const std::string& aOutcome) -> void
{
  if (!resumesStream_) {
    return;
  }
  const auto isVersionProblem =
    aOutcome == "stream_version_unknown" || aOutcome == "stream_version_gone";
  traffic_.Metrics().Count("stream_takeups_" +
                           (streamBegun_ || aOutcome == "ok" ? "went_on"
                            : isVersionProblem               ? aOutcome
                                                             : "refused"));
}

} // namespace goldcrestcroft
