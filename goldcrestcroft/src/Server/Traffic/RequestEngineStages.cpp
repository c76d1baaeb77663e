#include "../../Observability/Log.h"
#include "RequestEngine.h"

namespace goldcrestcroft {

namespace {

constexpr Duration kLocalDownPeriod = std::chrono::seconds{ 1 };
constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 200 };

} // namespace

auto RequestEngine::MakeStageEvents() -> StageEvents
{
  return {
    .onResponse_ =
      [this](const AttemptId& aAttempt, const std::string& aBody) {
        const auto now = clock_.Now();
        FinishAttempt(aAttempt, Finish::Completed, now);
        if (auto* request = Find(aAttempt)) {
          Execute(
            request->run_.Id(),
            request->run_.OnAnswer(aAttempt, aBody, BudgetOf(*request), now),
            now);
        } else {
          metrics_.CountDropped(1);
        }
        Pump(now);
      },
    .onStreamBytes_ =
      [this](const AttemptId& aAttempt, const std::string& aBytes) {
        const auto now = clock_.Now();
        if (auto* request = Find(aAttempt)) {
          Execute(request->run_.Id(),
                  request->run_.OnStreamBytes(aAttempt, aBytes,
                                              BudgetOf(*request), now),
                  now);
        }
      },
    .onStreamEnd_ =
      [this](const AttemptId& aAttempt) {
        const auto now = clock_.Now();
        FinishAttempt(aAttempt, Finish::Completed, now);
        if (auto* request = Find(aAttempt)) {
          Execute(request->run_.Id(),
                  request->run_.OnStreamEnd(aAttempt, BudgetOf(*request), now),
                  now);
        }
        Pump(now);
      },
    .onFailure_ =
      [this](const AttemptId& aAttempt, const ServerId& aServer,
             AttemptFailure aFailure) {
        OnStageFailure(aAttempt, aServer, aFailure);
      },
    .onServerStatus_ =
      [this](const ServerId& aServer, double aInFlight, bool aDraining) {
        if (aInFlight >= 0.0) {
          dispatcher_.OnReport(aServer, aInFlight);
        }
        if (aDraining) {
          downUntil_[aServer] = clock_.Now() + kLocalDownPeriod;
          UpdateClosedServers(clock_.Now());
          toControl_(ServerObserved{ aServer, ServerObserved::What::Leaving });
        }
      },
    .onMismatch_ = [this] { metrics_.CountDropped(1); },
  };
}

auto RequestEngine::OnStageFailure(const AttemptId& aAttempt,
                                   const ServerId& aServer,
                                   AttemptFailure aFailure) -> void
{
  const auto now = clock_.Now();
  if (aFailure == AttemptFailure::Broken) {
    OnConnectionBroken(aAttempt, aServer);
    return;
  }
  if (aFailure == AttemptFailure::NotConnected) {
    MarkDown(aServer, now);
  }
  Fail(aAttempt, aFailure, now);
  Pump(now);
}

auto RequestEngine::Fail(const AttemptId& aAttempt, AttemptFailure aFailure,
                         TimePoint aNow) -> void
{
  FinishAttempt(aAttempt, Finish::Failed, aNow);
  auto* request = Find(aAttempt);
  if (request == nullptr) {
    return;
  }
  if (aFailure == AttemptFailure::InvalidResponse) {
    metrics_.CountDropped(1);
  }
  Log::Write(LogLevel::Warning, "stage attempt failed",
             { { "request", request->run_.Id().value_ },
               { "attempt", aAttempt.value_ },
               { "pool", request->run_.StagePool().id_.value_ },
               { "failure", std::string(ToString(aFailure)) } });
  Execute(request->run_.Id(),
          request->run_.OnFailure(aAttempt, aFailure, BudgetOf(*request), aNow),
          aNow);
}

// A broken connection may mean that the server crashed or only that the
// connection was lost. The requests that ran there are counted as involved in a
// crash only if a probe of the server fails as well.
auto RequestEngine::OnConnectionBroken(const AttemptId& aAttempt,
                                       const ServerId& aServer) -> void
{
  auto& waiting = awaitingProbe_[aServer];
  waiting.push_back(aAttempt);
  if (waiting.size() > 1) {
    return;
  }
  const auto* server = dispatcher_.FindServer(aServer);
  http_.Send({ .method_ = "GET",
               .url_ = "http://" + server->address_ + "/healthz",
               .timeout_ = kProbeTimeout,
               .connectTimeout_ = kProbeTimeout,
               .fresh_ = true },
             { .onEnd_ = [this, aServer](const HttpResponse& aReply) {
               OnProbeResult(aServer, aReply.end_ == HttpOutcome::Answered);
             } });
}

auto RequestEngine::OnProbeResult(const ServerId& aServer, bool aAlive) -> void
{
  const auto now = clock_.Now();
  const auto attempts = std::exchange(awaitingProbe_[aServer], {});
  if (!aAlive) {
    MarkDown(aServer, now);
    std::vector<std::uint64_t> suspects;
    auto ranAlone = false;
    for (const auto& attempt : attempts) {
      if (const auto* request = Find(attempt)) {
        suspects.push_back(QuarantineKey(*request));
        ranAlone = ranAlone || suspectRunner_.IsRunning(attempt);
      }
    }
    Log::Write(LogLevel::Warning, "backend server crashed",
               { { "server", aServer.value_ },
                 { "in_flight", std::to_string(suspects.size()) },
                 { "alone", ranAlone ? "yes" : "no" } });
    Publish(
      quarantine_.OnCrash(suspects, ranAlone && suspects.size() == 1, now));
    FailQuarantinedSuspects(now);
  }
  for (const auto& attempt : attempts) {
    Fail(attempt, aAlive ? AttemptFailure::Broken : AttemptFailure::Crashed,
         now);
  }
  Pump(now);
}

auto RequestEngine::Publish(const std::vector<QuarantineUpdate>& aUpdates)
  -> void
{
  for (const auto& update : aUpdates) {
    metrics_.CountPoison(update.verdict_ == Verdict::Quarantined ? "quarantined"
                         : update.verdict_ == Verdict::Suspect   ? "suspect"
                                                                 : "cleared");
  }
  if (!aUpdates.empty()) {
    toControl_(QuarantineUpdatesIssued{ aUpdates });
  }
}

auto RequestEngine::MarkDown(const ServerId& aServer, TimePoint aNow) -> void
{
  downUntil_[aServer] = aNow + kLocalDownPeriod;
  UpdateClosedServers(aNow);
  toControl_(ServerObserved{ aServer, ServerObserved::What::Down });
}

auto RequestEngine::UpdateClosedServers(TimePoint aNow) -> void
{
  std::erase_if(downUntil_,
                [aNow](const auto& aItem) { return aItem.second <= aNow; });
  auto closed = view_->closed_;
  for (const auto& [server, until] : downUntil_) {
    closed.insert(server);
  }
  if (!suspectRunner_.Server().Empty()) {
    closed.insert(suspectRunner_.Server());
  }
  for (const auto& server : closed_) {
    if (!closed.contains(server)) {
      dispatcher_.SetClosed(server, false);
    }
  }
  for (const auto& server : closed) {
    dispatcher_.SetClosed(server, true);
  }
  closed_ = std::move(closed);
}

} // namespace goldcrestcroft
