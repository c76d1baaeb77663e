#include "../Observability/Log.h"
#include "RequestRun.h"

#include <algorithm>
#include <sstream>

namespace goldcrestcroft {

namespace {

/** Headers that concern one connection only. */
constexpr http::field kHopByHop[] = {
  http::field::connection,
  http::field::keep_alive,
  http::field::proxy_connection,
  http::field::te,
  http::field::trailer,
  http::field::transfer_encoding,
  http::field::upgrade,
  http::field::content_length,
  http::field::expect,
  http::field::proxy_authorization,
  http::field::proxy_authenticate,
};

auto IsHopByHop(http::field aName) -> bool
{
  return std::find(std::begin(kHopByHop), std::end(kHopByHop), aName) !=
         std::end(kHopByHop);
}

auto IsNamed(const std::vector<std::string>& aNames, beast::string_view aName)
  -> bool
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const auto& aOther) {
    return beast::iequals(aOther, aName);
  });
}

template<typename Message>
auto CopyAnswerFields(const EngineAnswerHead& aHead, const HeaderNames& aNames,
                      Message& aAnswer) -> void
{
  for (const auto& field : aHead.fields_) {
    const auto name = field.name_string();
    const auto dropped = IsHopByHop(field.name()) ||
                         beast::iequals(name, aNames.engineLoad_) ||
                         beast::iequals(name, aNames.notRun_);
    if (!dropped) {
      aAnswer.insert(name, field.value());
    }
  }
}

} // namespace

auto RequestRun::Candidates(std::vector<EngineEntry>& aEntries)
  -> std::vector<EngineCandidate>
{
  auto& pool = traffic_.Pool();
  const auto now = traffic_.Now();
  const auto* profile = routing_->FindService(service_);
  const auto hosts = std::max<std::size_t>(traffic_.Fleet().hosts_.size(), 1);
  const auto share = std::max<std::size_t>(
    (profile != nullptr ? profile->maxConnections_ : 64) / hosts, 2);
  std::vector<EngineCandidate> candidates;
  for (const auto& entry : pool.Engines().Of(service_)) {
    const auto state = pool.StateOf(entry);
    const auto full = state->openConnections_ >= share && state->kept_.empty();
    const auto onTrial = state->health_.IsOnTrial() && state->ownRequests_ > 0;
    if (tried_.contains(entry.id_) || full || onTrial ||
        !state->health_.IsUsable(now)) {
      continue;
    }
    aEntries.push_back(entry);
    candidates.push_back(
      { .id_ = entry.id_,
        .zone_ = entry.zone_,
        .slots_ = static_cast<double>(entry.slots_),
        .ownRequests_ = static_cast<double>(state->ownRequests_),
        .reportedRequests_ = state->ReportedRequests(now),
        .slowness_ = 1.0 + state->health_.FailureShare() });
  }
  return candidates;
}

auto RequestRun::PlanHome() -> void
{
  zone_ = traffic_.Fleet().zone_;
  const auto part = SharedPartId(prompt_);
  if (part.empty()) {
    return;
  }
  std::vector<EngineEntry> entries;
  auto candidates = Candidates(entries);
  if (!route_->stages_.empty()) {
    const auto shares = StageShares();
    std::map<std::string, double> engines;
    for (const auto& entry : entries) {
      engines[entry.zone_] += 1.0;
    }
    for (auto& candidate : candidates) {
      const auto share = shares.find(candidate.zone_);
      candidate.homeWeight_ =
        share == shares.end() ? 0.0 : share->second / engines[candidate.zone_];
    }
  }
  const auto home = ChooseHome(candidates, { .ownZone_ = zone_ }, part);
  if (home) {
    home_ = entries[*home].id_;
    zone_ = entries[*home].zone_;
  }
}

auto RequestRun::ChooseEngine() -> std::shared_ptr<EngineState>
{
  std::vector<EngineEntry> entries;
  const auto candidates = Candidates(entries);
  const EngineChoiceOptions options{ .ownZone_ = zone_ };
  const auto part = SharedPartId(prompt_);
  auto chosen = part.empty()
                  ? ChooseLeastLoaded(candidates, options, requestId_)
                  : ChooseHome(candidates, options, part);
  if (!home_.empty()) {
    const auto planned =
      std::find_if(entries.begin(), entries.end(),
                   [&](const auto& aEntry) { return aEntry.id_ == home_; });
    if (planned != entries.end()) {
      chosen = static_cast<std::size_t>(planned - entries.begin());
    }
    home_.clear();
  }
  if (!chosen) {
    return nullptr;
  }
  return traffic_.Pool().StateOf(entries[*chosen]);
}

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

auto RequestRun::Attempt(std::shared_ptr<EngineState> aEngine)
  -> Task<AttemptEnd>
{
  const auto& entry = aEngine->entry_;
  tried_.insert(entry.id_);
  const auto lease = co_await traffic_.Pool().Open(aEngine);
  if (!lease.connection_) {
    co_return AttemptEnd::Unreachable;
  }
  if (aborted_ != Aborted::No) {
    traffic_.Pool().Drop(lease);
    co_return AttemptEnd::Unreachable;
  }
  lastEngine_ = entry.id_;
  current_ = lease.connection_;
  ++aEngine->ownRequests_;
  const auto end = co_await TalkTo(lease);
  --aEngine->ownRequests_;
  current_.reset();
  if (end != AttemptEnd::Delivered) {
    Log::Write(
      LogLevel::Info, "attempt_ended",
      { { "request", requestId_ },
        { "engine", entry.id_ },
        { "end", ToString(end) },
        { "timed_out", lease.connection_->TimedOut() ? "true" : "false" },
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

auto RequestRun::NoteLoss(const EngineLease& aLease) -> void
{
  aLease.engine_->health_.OnFailure(traffic_.Now());
  if (aborted_ == Aborted::No && !aLease.connection_->TimedOut()) {
    traffic_.NoteCrash(fingerprint_, aLease.engine_->entry_);
  }
}

auto RequestRun::TalkTo(const EngineLease& aLease) -> Task<AttemptEnd>
{
  auto& pool = traffic_.Pool();
  auto& health = aLease.engine_->health_;
  const auto startedAt = traffic_.Now();
  EngineExchange exchange(aLease, traffic_.Codec().Headers());
  aLease.connection_->CloseAfter(TimeForHead());
  unsettled_ = true;
  auto end = ReadEnd::Broken;
  auto forwarded = MakeForwarded(aLease.engine_->entry_);
  if (co_await aLease.connection_->BeginWrite(std::move(forwarded))) {
    end = co_await exchange.ReadHead(requestId_,
                                     request_.method() == http::verb::head);
  }
  if (end != ReadEnd::Done) {
    pool.Drop(aLease);
    NoteLoss(aLease);
    co_return AttemptEnd::Lost;
  }
  const auto& head = exchange.Head();
  const auto loadText = head.fields_[traffic_.Codec().Headers().engineLoad_];
  if (const auto load =
        traffic_.Codec().ReadLoad({ loadText.data(), loadText.size() })) {
    aLease.engine_->report_ = *load;
    aLease.engine_->reportedAt_ = traffic_.Now();
  }
  const auto result = co_await HandOver(exchange);
  unsettled_ = result == AttemptEnd::Lost || result == AttemptEnd::Abandoned;
  if (exchange.IsReusable()) {
    pool.Keep(aLease, head.keepFor_);
  } else {
    pool.Drop(aLease);
  }
  switch (result) {
    case AttemptEnd::Delivered:
      health.OnSuccess(traffic_.Now() - startedAt);
      break;
    case AttemptEnd::FailureAnswer:
    case AttemptEnd::Rejected:
      health.OnFailure(traffic_.Now());
      break;
    case AttemptEnd::Lost:
      NoteLoss(aLease);
      break;
    default:
      break;
  }
  co_return result;
}

auto RequestRun::HandOver(EngineExchange& aExchange) -> Task<AttemptEnd>
{
  const auto& head = aExchange.Head();
  const auto succeeded = head.status_ >= 200 && head.status_ < 300;
  if (succeeded && head.signed_ && route_->kind_ == RouteKind::Streaming) {
    co_return co_await RelayStream(aExchange);
  }
  std::string body;
  aExchange.Lease().connection_->CloseAfter(TimeForHead());
  const auto end =
    co_await aExchange.ReadAll(body, traffic_.Options().maxAnswerBytes_);
  if (head.notRun_) {
    co_return graph_ && (head.status_ == 409 || head.status_ == 400)
      ? AttemptEnd::InputsGone
      : AttemptEnd::Rejected;
  }
  if (end != ReadEnd::Done || (succeeded && !head.signed_)) {
    co_return AttemptEnd::Lost;
  }
  if (succeeded) {
    co_return co_await Deliver(head, std::move(body));
  }
  if (!streamBegun_) {
    failureHead_ = head;
    failureBody_ = std::move(body);
  }
  co_return AttemptEnd::FailureAnswer;
}

auto RequestRun::Deliver(const EngineAnswerHead& aHead, std::string aBody)
  -> Task<AttemptEnd>
{
  const auto& names = traffic_.Codec().Headers();
  if (request_.method() == http::verb::head) {
    http::response<http::empty_body> answer(
      static_cast<http::status>(aHead.status_), 11);
    CopyAnswerFields(aHead, names, answer);
    if (aHead.length_) {
      answer.content_length(*aHead.length_);
    }
    answer.keep_alive(!traffic_.IsStopping());
    const auto sent = co_await caller_->SendHeadOnly(std::move(answer));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::Abandoned;
  }
  http::response<http::string_body> answer(
    static_cast<http::status>(aHead.status_), 11, std::move(aBody));
  CopyAnswerFields(aHead, names, answer);
  answer.keep_alive(!traffic_.IsStopping());
  answer.prepare_payload();
  const auto sent = co_await caller_->SendWhole(std::move(answer));
  co_return sent ? AttemptEnd::Delivered : AttemptEnd::Abandoned;
}

auto RequestRun::RelayStream(EngineExchange& aExchange) -> Task<AttemptEnd>
{
  const auto& options = traffic_.Options();
  const auto& connection = aExchange.Lease().connection_;
  const auto gap = route_->gapObjective_.value_or(Duration{});
  const auto stall = std::max<Duration>(
    options.leastStall_,
    Duration(static_cast<Duration::rep>(static_cast<double>(gap.count()) *
                                        options.stallPauses_)));
  relay_.DropPartial();
  while (!aExchange.IsComplete()) {
    // Only where it could go on elsewhere is silence a reason to leave.
    connection->CloseAfter(HasAttemptsLeft() ? std::min(stall, TimeLeft())
                                             : TimeLeft());
    std::string bytes;
    const auto end = co_await aExchange.ReadSome(bytes);
    auto events = relay_.Feed(bytes);
    if (aExchange.IsComplete()) {
      events += relay_.Partial();
    }
    if (!streamBegun_ && (!events.empty() || aExchange.IsComplete()) &&
        end == ReadEnd::Done) {
      streamBegun_ = true;
      firstEventAt_ = traffic_.Now();
      http::response<http::empty_body> head(
        static_cast<http::status>(aExchange.Head().status_), 11);
      CopyAnswerFields(aExchange.Head(), traffic_.Codec().Headers(), head);
      head.keep_alive(!traffic_.IsStopping());
      if (!co_await caller_->SendStreamHead(std::move(head))) {
        co_return AttemptEnd::Abandoned;
      }
      if (graph_) {
        // The engine has fetched what the stages made.
        ReleaseResults(graph_->TakeAll());
      }
    }
    if (streamBegun_) {
      const auto passed = co_await caller_->SendChunk(std::move(events));
      if (!passed) {
        co_return AttemptEnd::Abandoned;
      }
    }
    if (aborted_ != Aborted::No) {
      co_return AttemptEnd::Abandoned;
    }
    if (end != ReadEnd::Done) {
      co_return AttemptEnd::Lost;
    }
  }
  const auto ended = co_await caller_->SendLastChunk();
  co_return ended ? AttemptEnd::Delivered : AttemptEnd::Abandoned;
}

} // namespace goldcrestcroft
