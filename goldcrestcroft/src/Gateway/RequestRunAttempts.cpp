#include "../Observability/Log.h"
#include "HopHeaders.h"
#include "RequestRun.h"

#include <algorithm>
#include <sstream>

namespace goldcrestcroft {

auto RequestRun::HasAttemptsLeft() const -> bool
{
  return route_->IsIdempotent() && attempts_.ran_ + 1 < route_->maxAttempts_;
}

auto RequestRun::TimeForHead() const -> Duration
{
  const auto& options = traffic_.Options();
  const auto left = TimeLeft();
  if (!HasAttemptsLeft()) {
    return left;
  }
  const auto scale = [](Duration aTime, double aBy) {
    return Duration(
      static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aBy));
  };
  if (route_->kind_ == RouteKind::Streaming) {
    return std::min(
      left, std::max(options.leastFirst_,
                     scale(route_->objective_, options.firstObjectives_)));
  }
  return scale(left, options.firstAttemptShare_);
}

auto RequestRun::CanGoElsewhere() -> bool
{
  std::vector<EngineEntry> entries;
  if (!HasAttemptsLeft() || traffic_.IsHeldBack(fingerprint_) ||
      Candidates(entries).empty()) {
    return false;
  }
  repeatTaken_ = repeatTaken_ || traffic_.TryRepeat(service_);
  return repeatTaken_;
}

auto RequestRun::CloseIfSilent(const EngineLease& aLease, Duration aTime)
  -> void
{
  // How soon it is asked again whether another engine takes the request.
  static constexpr Duration kAskAgain = std::chrono::milliseconds{ 250 };
  aLease.connection_->CloseAfter(aTime, [weak = weak_from_this()]() {
    const auto self = weak.lock();
    // An engine that is only slow is better than none.
    return !self || self->CanGoElsewhere()
             ? Duration{}
             : std::min<Duration>(kAskAgain, self->TimeLeft());
  });
}

auto RequestRun::Attempt(std::shared_ptr<EngineState> aEngine)
  -> Task<AttemptEnd>
{
  const auto& entry = aEngine->entry_;
  tried_.insert(entry.id_);
  // Plain services take few connections from all hosts together; engines of
  // streams have far more places for connections than hosts use.
  const auto isStream = route_->kind_ == RouteKind::Streaming;
  const OpenWish wish{ .settles_ = !isStream, .patience_ = patience_ };
  const auto lease = co_await traffic_.Pool().Open(aEngine, wish);
  if (!lease.connection_) {
    co_return lease.denied_ ? AttemptEnd::Denied : AttemptEnd::Unreachable;
  }
  // Either may have come while the connection was made.
  if (aborted_ != Aborted::No || IsStoppedAsSuspect()) {
    traffic_.Pool().Drop(lease);
    co_return AttemptEnd::Unreachable;
  }
  lastEngine_ = entry.id_;
  current_ = lease.connection_;
  ++aEngine->ownRequests_;
  const auto end = co_await TalkTo(lease);
  --aEngine->ownRequests_;
  current_.reset();
  heardAt_ = std::max(heardAt_, lease.connection_->HeardAt());
  if (end != AttemptEnd::Delivered) {
    Log::Write(
      LogLevel::Info, "attempt_ended",
      { { "request", requestId_ },
        { "engine", entry.id_ },
        { "end", ToString(end) },
        { "timed_out", lease.connection_->TimedOut() ? "true" : "false" },
        { "unread", lease.connection_->LeftUnread() ? "true" : "false" },
        { "silent_ms", std::to_string(ToMilliseconds(
                         traffic_.Now() - lease.connection_->HeardAt())) },
        { "left_ms", std::to_string(ToMilliseconds(TimeLeft())) } });
  }
  co_return end;
}

auto RequestRun::MakeForwarded(const EngineEntry& aEngine) const -> std::string
{
  const auto& names = traffic_.Codec().Headers();
  http::request<http::string_body> forwarded;
  forwarded.version(11);
  forwarded.method_string(request_.method_string());
  forwarded.target(request_.target());
  std::vector<std::string> nominated;
  for (const auto token :
       http::token_list{ request_[http::field::connection] }) {
    nominated.emplace_back(token);
  }
  for (const auto& field : request_) {
    const auto name = field.name_string();
    const auto dropped =
      IsHopByHop(field.name()) || IsNamed(names.systemOnly_, name) ||
      beast::iequals(name, names.timeLeft_) ||
      (IsNamed(nominated, name) && !IsNamed(names.endToEnd_, name));
    if (!dropped) {
      forwarded.insert(name, field.value());
    }
  }
  // Not longer than the caller waits, whatever the route allows.
  const auto left = std::max<Duration>(TimeLeft(), Duration{});
  forwarded.set(
    names.timeLeft_,
    std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  forwarded.set(names.expectEngine_, aEngine.id_);
  if (!workspace_.empty()) {
    forwarded.set(names.workspace_, workspace_);
  }
  if (relay_.LastId()) {
    forwarded.set(names.lastEventId_, *relay_.LastId());
  }
  if (graph_) {
    const auto inputs = graph_->FinalInputs();
    std::string list;
    for (const auto& handle : inputs) {
      list += (list.empty() ? "" : ",") + handle;
    }
    if (!list.empty()) {
      forwarded.set(names.stageInputs_, list);
    }
  }
  forwarded.body() = request_.body();
  forwarded.prepare_payload();
  std::ostringstream bytes;
  bytes << forwarded;
  return std::move(bytes).str();
}

auto RequestRun::NotePassed(const EngineLease& aLease, AnswerBound aBound)
  -> void
{
  if (aBound == AnswerBound::None) {
    return;
  }
  traffic_.Pool().CountCut(ToString(aBound));
  Log::Write(LogLevel::Info, "engine_answer_cut",
             { { "request", requestId_ },
               { "engine", aLease.engine_->entry_.id_ },
               { "bound", ToString(aBound) },
               { "remedy", Remedy(aBound) } });
}

auto RequestRun::NoteLoss(const EngineLease& aLease, TimePoint aBegan) -> void
{
  const auto& entry = aLease.engine_->entry_;
  const auto broke = aborted_ == Aborted::No && !aLease.connection_->TimedOut();
  const LostRun run{ .request_ = fingerprint_,
                     .run_ = Fingerprint(requestId_, ++lostRuns_),
                     .began_ = aBegan,
                     .ended_ = traffic_.Now() };
  Log::Write(LogLevel::Info, "run_lost",
             { { "request", requestId_ },
               { "fingerprint", ToHex(fingerprint_) },
               { "run", ToHex(run.run_) },
               { "engine", entry.id_ },
               { "started_at", std::to_string(entry.startedAt_) },
               { "broke", broke ? "true" : "false" } });
  traffic_.NoteUnanswered(run, broke, aLease.engine_);
}

auto RequestRun::TalkTo(const EngineLease& aLease) -> Task<AttemptEnd>
{
  auto& pool = traffic_.Pool();
  auto& health = aLease.engine_->health_;
  const auto began = traffic_.Now();
  EngineExchange exchange(aLease, traffic_.Codec().Headers(), pool.Held());
  CloseIfSilent(aLease, TimeForHead());
  unsettled_ = true;
  auto end = ReadEnd::Broken;
  auto forwarded = MakeForwarded(aLease.engine_->entry_);
  if (aLease.engine_->limit_) {
    traffic_.Metrics().Count("requests_to_limited_engines");
  }
  if (co_await aLease.connection_->BeginWrite(std::move(forwarded))) {
    end = co_await exchange.ReadHead(requestId_,
                                     request_.method() == http::verb::head);
  }
  if (end != ReadEnd::Done) {
    NotePassed(aLease, exchange.Passed());
    pool.Drop(aLease);
    health.OnFailure(traffic_.Now());
    NoteLoss(aLease, began);
    co_return AttemptEnd::Lost;
  }
  traffic_.NoteHeard(aLease);
  const auto& head = exchange.Head();
  pool.Heed(aLease, head);
  const auto loadText = head.fields_[traffic_.Codec().Headers().engineLoad_];
  if (const auto load =
        traffic_.Codec().ReadLoad({ loadText.data(), loadText.size() })) {
    aLease.engine_->report_ = *load;
    aLease.engine_->reportedAt_ = traffic_.Now();
  }
  const auto result = co_await HandOver(exchange);
  NotePassed(aLease, exchange.Passed());
  unsettled_ = result == AttemptEnd::Lost || result == AttemptEnd::Abandoned;
  if (exchange.IsReusable()) {
    pool.Keep(aLease, head.keepFor_);
  } else {
    pool.Drop(aLease);
  }
  switch (result) {
    case AttemptEnd::Delivered:
      health.OnSuccess();
      traffic_.NoteCompleted(fingerprint_);
      break;
    case AttemptEnd::FailureAnswer:
      health.OnFailure(traffic_.Now());
      break;
    case AttemptEnd::Rejected:
      // One that asks for a pause is well, and gets one.
      if (aLease.engine_->consent_.MayReceive(traffic_.Now())) {
        health.OnFailure(traffic_.Now());
      }
      break;
    case AttemptEnd::Lost:
      health.OnFailure(traffic_.Now());
      NoteLoss(aLease, began);
      break;
    case AttemptEnd::Abandoned:
      // The caller may have left before an answer that is whole.
      if (exchange.IsComplete()) {
        traffic_.NoteCompleted(fingerprint_);
      } else {
        NoteLoss(aLease, began);
      }
      break;
    default:
      break;
  }
  co_return result;
}

} // namespace goldcrestcroft
