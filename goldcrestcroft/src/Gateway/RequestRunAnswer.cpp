#include "../Observability/Log.h"
#include "HopHeaders.h"
#include "RequestRun.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

template<typename Message>
auto CopyResponseFields(const EngineResponseHead& aHead,
                        const HeaderNames& aNames, Message& aAnswer) -> void
{
  for (const auto& field : aHead.fields_) {
    const auto name = field.name_string();
    const auto dropped = IsHopByHop(field.name()) ||
                         beast::iequals(name, aNames.engineLoad_) ||
                         IsNamed(aNames.engineLeaving_, name) ||
                         IsNamed(aNames.engineLimit_, name) ||
                         beast::iequals(name, aNames.notRun_);
    if (!dropped) {
      aAnswer.insert(name, field.value());
    }
  }
}

} // namespace

auto RequestRun::ForwardResponse(EngineExchange& aExchange)
  -> Task<AttemptOutcome>
{
  const auto& head = aExchange.Head();
  const auto succeeded = head.status_ >= 200 && head.status_ < 300;
  // A body that is known to be empty needs no relay, unless its stream has
  // begun.
  const auto relays = route_->kind_ == RouteKind::Streaming &&
                      (streamBegun_ || !aExchange.IsComplete());
  if (succeeded && head.signed_ && relays) {
    co_return co_await RelayStream(aExchange);
  }
  auto& body = aExchange.Body();
  auto end = ReadOutcome::Broken;
  if (succeeded) {
    PauseIfSilent(aExchange.Lease(), HeadTimeout());
    end = co_await aExchange.ReadAll(body, traffic_.Options().maxAnswerBytes_);
  } else {
    CloseIfSilent(aExchange.Lease(), HeadTimeout());
    end = co_await aExchange.ReadFailure(body);
  }
  if (end == ReadOutcome::Paused) {
    co_return AttemptOutcome::Parked;
  }
  if (head.notRun_) {
    co_return graph_ && (head.status_ == 409 || head.status_ == 400)
      ? AttemptOutcome::InputsLost
      : AttemptOutcome::Rejected;
  }
  if (end != ReadOutcome::Done || (succeeded && !head.signed_)) {
    co_return AttemptOutcome::Lost;
  }
  aExchange.Lease().connection_->Disarm();
  const auto incomplete = co_await ConfirmEnd(aExchange);
  if (incomplete) {
    co_return *incomplete;
  }
  if (succeeded) {
    co_return co_await Deliver(head, std::move(body));
  }
  if (!streamBegun_) {
    failureHead_ = head;
    failureBody_ = std::move(body);
  }
  co_return AttemptOutcome::ErrorResponse;
}

auto RequestRun::Deliver(const EngineResponseHead& aHead, std::string aBody)
  -> Task<AttemptOutcome>
{
  const auto& names = traffic_.Codec().Headers();
  if (request_.method() == http::verb::head) {
    http::response<http::empty_body> answer(
      static_cast<http::status>(aHead.status_), 11);
    CopyResponseFields(aHead, names, answer);
    if (aHead.length_) {
      answer.content_length(*aHead.length_);
    }
    answer.keep_alive(!traffic_.IsStopping());
    const auto sent = co_await caller_->SendHead(std::move(answer));
    co_return sent ? AttemptOutcome::Delivered : AttemptOutcome::Abandoned;
  }
  http::response<http::string_body> answer(
    static_cast<http::status>(aHead.status_), 11, std::move(aBody));
  CopyResponseFields(aHead, names, answer);
  answer.keep_alive(!traffic_.IsStopping());
  answer.prepare_payload();
  const auto sent = co_await caller_->SendResponse(std::move(answer));
  co_return sent ? AttemptOutcome::Delivered : AttemptOutcome::Abandoned;
}

auto RequestRun::ConfirmEnd(EngineExchange& aExchange)
  -> Task<std::optional<AttemptOutcome>>
{
  const auto& engine = aExchange.Lease().engine_;
  const auto& entry = engine->entry_;
  auto& pool = traffic_.Pool();
  // A draining engine may exit right after its last response.
  const auto drains = engine->availability_.IsLeaving() ||
                      pool.Engines().IsDraining(entry.id_, entry.startedAt_);
  if (aExchange.Head().framing_ != ResponseFraming::Connection) {
    co_return std::nullopt;
  }
  // For a stream that may be resumed the doubt costs one more attempt, which
  // ends at once if there was no further event.
  if (drains &&
      !(route_->kind_ == RouteKind::Streaming && route_->resumable_)) {
    traffic_.Metrics().Count("engine_responses_ended_while_draining");
    Log::Write(LogLevel::Info, "response_end_not_confirmed",
               { { "request", requestId_ }, { "engine", entry.id_ } });
    co_return std::nullopt;
  }
  const auto listens = co_await pool.IsListening(engine);
  if (aborted_ != Aborted::No) {
    co_return AttemptOutcome::Abandoned;
  }
  if (!listens) {
    aExchange.MarkBrokenOff(BrokenOff::EngineGone);
    co_return AttemptOutcome::Lost;
  }
  // An engine that closes its connection before it has read the whole request
  // resets it, at the latest when more of the request arrives. The end of a
  // response may be read before the reset, but the round trip of the check
  // above has given that time to arrive.
  if (aExchange.Lease().connection_->WasReset()) {
    aExchange.MarkBrokenOff(BrokenOff::Reset);
    co_return AttemptOutcome::Lost;
  }
  co_return std::nullopt;
}

auto RequestRun::RelayStream(EngineExchange& aExchange) -> Task<AttemptOutcome>
{
  const auto& options = traffic_.Options();
  const auto gap = route_->gapObjective_.value_or(Duration{});
  const auto stall = std::max<Duration>(
    options.minStall_,
    Duration(static_cast<Duration::rep>(static_cast<double>(gap.count()) *
                                        options.stallGaps_)));
  if (aExchange.BodyBytes() == 0) {
    relay_.DropPartial();
  }
  const ResponseLimits bounds;
  EventLimitChecker watch(bounds);
  auto eventsSeen = relay_.EventsWithData();
  auto reportedSound = false;
  lastEventAt_ = traffic_.Now();
  while (!aExchange.IsComplete()) {
    // Silence ends the attempt only if another engine may be tried. Only
    // events with data count as progress, not other bytes such as comments.
    const auto maxSilence =
      std::max<Duration>(stall - (traffic_.Now() - lastEventAt_), Duration{});
    if (HasAttemptsLeft()) {
      PauseIfSilent(aExchange.Lease(), maxSilence);
    } else {
      CloseIfSilent(aExchange.Lease(), TimeLeft());
    }
    std::string bytes;
    const auto end = co_await aExchange.ReadSome(bytes);
    // Time that the caller takes to read is not counted against the engine.
    aExchange.Lease().connection_->Disarm();
    auto events = relay_.Feed(bytes);
    if (end == ReadOutcome::Paused) {
      co_return AttemptOutcome::Parked;
    }
    const auto passed = watch.Check(relay_, traffic_.Now());
    if (passed != ResponseLimit::None) {
      aExchange.Pass(passed);
      co_return AttemptOutcome::Lost;
    }
    if (aExchange.IsComplete()) {
      aExchange.MarkBrokenOff(
        CheckStreamEnd(aExchange.End(relay_.Partial().size())));
    }
    if (relay_.IsOutOfOrder()) {
      aExchange.MarkBrokenOff(BrokenOff::OutOfOrder);
    }
    const auto brokeOff = aExchange.IsBrokenOff();
    if (!streamBegun_ &&
        (!events.empty() || (aExchange.IsComplete() && !brokeOff)) &&
        end == ReadOutcome::Done) {
      const auto& entry = aExchange.Lease().engine_->entry_;
      const auto unknown = co_await AwaitStreamKnown(entry);
      if (unknown) {
        co_return *unknown;
      }
      streamBegun_ = true;
      firstEventAt_ = traffic_.Now();
      http::response<http::empty_body> head(
        static_cast<http::status>(aExchange.Head().status_), 11);
      CopyResponseFields(aExchange.Head(), traffic_.Codec().Headers(), head);
      head.keep_alive(!traffic_.IsStopping());
      if (!co_await caller_->SendStreamHead(std::move(head))) {
        co_return AttemptOutcome::Abandoned;
      }
      if (graph_) {
        traffic_.FirstEventOf(route_->name_)
          .OnFirstEvent(firstEventAt_ - stagesDoneAt_);
        EndAssignment();
        // The engine has fetched the results of the stages.
        ReleaseResults(graph_->TakeAll());
      }
    }
    if (streamBegun_) {
      const auto sent = co_await caller_->SendChunk(std::move(events));
      if (!sent) {
        co_return AttemptOutcome::Abandoned;
      }
      relay_.MarkForwarded();
    }
    if (relay_.EventsWithData() != eventsSeen) {
      lastEventAt_ = traffic_.Now();
      aExchange.OnEvents(relay_.EventsWithData() - eventsSeen, lastEventAt_);
      eventsSeen = relay_.EventsWithData();
      if (!reportedSound && aExchange.ProvesPrompt(lastEventAt_)) {
        reportedSound = true;
        ReportSoundParts();
      }
    }
    if (aborted_ != Aborted::No) {
      co_return AttemptOutcome::Abandoned;
    }
    if (relay_.IsOutOfOrder()) {
      // The engine has failed, but not ended.
      co_return AttemptOutcome::ErrorResponse;
    }
    if (end != ReadOutcome::Done || brokeOff) {
      co_return AttemptOutcome::Lost;
    }
  }
  const auto incomplete = co_await ConfirmEnd(aExchange);
  if (incomplete) {
    co_return *incomplete;
  }
  const auto ended = co_await caller_->SendLastChunk();
  co_return ended ? AttemptOutcome::Delivered : AttemptOutcome::Abandoned;
}

} // namespace goldcrestcroft
