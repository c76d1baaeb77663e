#include "StageClient.h"

#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

constexpr Duration kNoReusePeriod = std::chrono::seconds{ 15 };

auto FailureOf(const HttpResponse& aReply) -> AttemptFailure
{
  constexpr long kTooMany = 429;
  constexpr long kUnavailable = 503;
  switch (aReply.end_) {
    case HttpOutcome::NotSent:
      return AttemptFailure::NotConnected;
    case HttpOutcome::Broken:
      return AttemptFailure::Broken;
    case HttpOutcome::Silent:
      return AttemptFailure::Silent;
    case HttpOutcome::Answered:
      break;
  }
  // By the contract in docs/API.md these two codes mean that the server has not
  // started any work.
  if (aReply.status_ == kTooMany || aReply.status_ == kUnavailable) {
    return AttemptFailure::Declined;
  }
  return AttemptFailure::ServerError;
}

} // namespace

auto StageClient::Send(const StageRequest& aRequest, TimePoint aNow) -> void
{
  const auto streamed = aRequest.pool_->kind_ == StageKind::Generate;
  const auto attempt = aRequest.attempt_;
  const auto server = aRequest.server_.id_;
  const auto milliseconds = std::max<std::int64_t>(
    1,
    std::chrono::floor<std::chrono::milliseconds>(aRequest.timeLeft_).count());
  const auto noReuse = noReuseUntil_.find(server);
  HttpRequest request{
    .url_ = "http://" + aRequest.server_.address_ + aRequest.pool_->path_,
    .body_ = aRequest.body_,
    .headers_ = { "x-attempt-id: " + attempt.value_,
                  "x-request-id: " + aRequest.request_.value_,
                  "traceparent: " + aRequest.traceparent_,
                  fmt::format("x-deadline-ms: {}", milliseconds),
                  fmt::format("x-priority: {}",
                              aRequest.borrowed_
                                ? "borrowed"
                                : ToString(aRequest.priority_)) },
    .timeout_ = aRequest.timeLeft_,
    .connectTimeout_ = std::min(connectTimeout_, aRequest.timeLeft_),
    .silence_ = aRequest.pool_->silence_,
    .fresh_ = !aRequest.pool_->idempotent_ ||
              (noReuse != noReuseUntil_.end() && aNow < noReuse->second),
  };
  HttpHandlers handlers{
    .onEnd_ =
      [this, attempt, server, streamed](const HttpResponse& aReply) {
        OnEnd(attempt, server, streamed, aReply);
      },
  };
  if (streamed) {
    handlers.onBytes_ = [this, attempt](const HttpResponse& aReply,
                                        const std::string& aBytes) {
      constexpr long kOk = 200;
      if (MatchesAttempt(attempt, aReply) && aReply.status_ == kOk) {
        events_.onStreamBytes_(attempt, aBytes);
      }
    };
  }
  exchanges_[attempt] = http_.Send(std::move(request), std::move(handlers));
}

auto StageClient::Cancel(const AttemptId& aAttempt) -> void
{
  const auto found = exchanges_.find(aAttempt);
  if (found != exchanges_.end()) {
    http_.Cancel(found->second);
    exchanges_.erase(found);
  }
}

auto StageClient::OnEnd(const AttemptId& aAttempt, const ServerId& aServer,
                        bool aStreamed, const HttpResponse& aReply) -> void
{
  constexpr long kOk = 200;
  exchanges_.erase(aAttempt);
  if (aReply.end_ == HttpOutcome::Silent) {
    noReuseUntil_[aServer] = SteadyClock{}.Now() + kNoReusePeriod;
  }
  if (aReply.end_ == HttpOutcome::Answered) {
    events_.onServerStatus_(aServer, aReply.inFlight_, aReply.leaving_);
  }
  if (aReply.end_ != HttpOutcome::Answered || aReply.status_ != kOk) {
    events_.onFailure_(aAttempt, aServer, FailureOf(aReply));
  } else if (!MatchesAttempt(aAttempt, aReply)) {
    events_.onMismatch_();
    events_.onFailure_(aAttempt, aServer, AttemptFailure::InvalidResponse);
  } else if (aStreamed) {
    events_.onStreamEnd_(aAttempt);
  } else {
    events_.onResponse_(aAttempt, aReply.body_);
  }
}

} // namespace goldcrestcroft
