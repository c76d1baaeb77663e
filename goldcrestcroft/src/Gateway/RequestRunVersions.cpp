#include "../Observability/Log.h"
#include "RequestRun.h"

namespace goldcrestcroft {

namespace {

/** The first event of a stream waits this long at most for the store. */
constexpr Duration kMaxRecordWait = std::chrono::milliseconds{ 400 };
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
  return !isReplaced &&
         (origin_.version_
            ? entry.version_ == *origin_.version_
            : traffic_.Versions().CanBeKnown(service_, entry.version_));
}

auto RequestRun::MayServe(const EngineState& aEngine, bool aIsAnyVersion)
  -> bool
{
  return (aIsAnyVersion && !origin_.version_) || FitsVersion(aEngine);
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

auto RequestRun::AwaitStreamKnown(const EngineEntry& aEngine) -> Task<bool>
{
  if (!MayBeginStream()) {
    co_return true;
  }
  const auto self = shared_from_this();
  const auto stream = IdOfStream();
  const auto version = aEngine.version_;
  auto& versions = traffic_.Versions();
  // The last attempt may have been at an engine of another version.
  PrepareStream(aEngine);
  const auto maxWait = versions.HasWaited(service_, version)
                         ? Duration{}
                         : std::min(kMaxRecordWait, TimeLeft());
  const auto latest = traffic_.Now() + maxWait;
  while (aborted_ == Aborted::No && !versions.IsKnownToAll(stream, version) &&
         traffic_.Now() < latest) {
    co_await WaitUntil(std::min(latest, traffic_.Now() + kRecordCheckInterval));
  }
  if (aborted_ != Aborted::No) {
    co_return false;
  }
  if (!versions.IsKnownToAll(stream, version)) {
    traffic_.Metrics().Count("streams_not_recorded");
    Log::Write(LogLevel::Warning, "stream_not_recorded",
               { { "request", requestId_ },
                 { "service", service_ },
                 { "version", version } });
  }
  origin_ = { .version_ = version, .source_ = "own" };
  versions.OnBegun(stream, version, TimeLeft());
  co_return true;
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
