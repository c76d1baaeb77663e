#pragma once

#include "../../../Pipeline.h"
#include "../../Observability/Metrics.h"
#include "../Http/HttpClient.h"

#include <map>

namespace goldcrestcroft {

/** \brief One stage call to a backend server. */
struct StageRequest
{
  AttemptId attempt_;
  RequestId request_;
  BackendServer server_;
  const Pool* pool_ = nullptr;
  std::string body_;
  std::string traceparent_;
  Duration timeLeft_{ 0 };
  Priority priority_ = Priority::Normal;
  /** The server's own work goes first. */
  bool borrowed_ = false;
};

/** \brief What a stage call teaches. Exactly one of onAnswer_, onStreamEnd_ and
 * onFailure_ is called, unless the call is cancelled first. */
struct StageEvents
{
  std::function<void(const AttemptId&, const std::string&)> onAnswer_;
  std::function<void(const AttemptId&, const std::string&)> onStreamBytes_;
  std::function<void(const AttemptId&)> onStreamEnd_;
  std::function<void(const AttemptId&, const ServerId&, AttemptFailure)>
    onFailure_;
  /** Any reply: the load that the server reports (below 0 if none) and whether
   * it is leaving. */
  std::function<void(const ServerId&, double, bool)> onReply_;
  /** Answers that were another attempt's. */
  std::function<void()> onForeign_;
};

/** \brief Makes stage calls over HTTP and checks that each answer is that
 * attempt's own. */
class StageCaller
{
public:
  StageCaller(HttpClient& aHttp, Duration aConnectTimeout, StageEvents aEvents)
    : http_(aHttp)
    , connectTimeout_(aConnectTimeout)
    , events_(std::move(aEvents))
  {
  }

  auto Send(const StageRequest& aRequest, TimePoint aNow) -> void;
  auto Cancel(const AttemptId& aAttempt) -> void;

private:
  auto OnEnd(const AttemptId& aAttempt, const ServerId& aServer, bool aStreamed,
             const HttpReply& aReply) -> void;
  auto IsOwn(const AttemptId& aAttempt, const HttpReply& aReply) const -> bool
  {
    return aReply.attempt_ == aAttempt.value_;
  }

  HttpClient& http_;
  Duration connectTimeout_;
  StageEvents events_;
  std::unordered_map<AttemptId, ExchangeId> exchanges_;
  /** Pooled connections to these servers are not trusted until then. */
  std::map<ServerId, TimePoint> freshUntil_;
};

} // namespace goldcrestcroft
