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
  /** The server belongs to another pool and serves its own work first. */
  bool borrowed_ = false;
};

/** \brief Callbacks for the events of stage calls. Exactly one of onResponse_,
 * onStreamEnd_ and onFailure_ is called for each call, unless the call is
 * cancelled first. */
struct StageEvents
{
  std::function<void(const AttemptId&, const std::string&)> onResponse_;
  std::function<void(const AttemptId&, const std::string&)> onStreamBytes_;
  std::function<void(const AttemptId&)> onStreamEnd_;
  std::function<void(const AttemptId&, const ServerId&, AttemptFailure)>
    onFailure_;
  /** Called for each complete HTTP response, with the load that the server
   * reports (negative if it reports none) and whether it is draining. */
  std::function<void(const ServerId&, double, bool)> onServerStatus_;
  /** A successful response carried the id of another attempt or none. */
  std::function<void()> onMismatch_;
};

/** \brief Makes stage calls over HTTP and checks that each response carries the
 * id of the attempt that made the call. */
class StageClient
{
public:
  StageClient(HttpClient& aHttp, Duration aConnectTimeout, StageEvents aEvents)
    : http_(aHttp)
    , connectTimeout_(aConnectTimeout)
    , events_(std::move(aEvents))
  {
  }

  auto Send(const StageRequest& aRequest, TimePoint aNow) -> void;
  auto Cancel(const AttemptId& aAttempt) -> void;

private:
  auto OnEnd(const AttemptId& aAttempt, const ServerId& aServer, bool aStreamed,
             const HttpResponse& aReply) -> void;
  auto MatchesAttempt(const AttemptId& aAttempt,
                      const HttpResponse& aReply) const -> bool
  {
    return aReply.attempt_ == aAttempt.value_;
  }

  HttpClient& http_;
  Duration connectTimeout_;
  StageEvents events_;
  std::unordered_map<AttemptId, ExchangeId> exchanges_;
  /** Pooled connections to these servers are not trusted after a call that got
   * no response in time, and are not reused before this time. */
  std::map<ServerId, TimePoint> noReuseUntil_;
};

} // namespace goldcrestcroft
