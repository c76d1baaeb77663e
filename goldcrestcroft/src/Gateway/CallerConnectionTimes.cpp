#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "Traffic.h"

namespace goldcrestcroft {

auto CallerConnection::Limits() const -> ClientLimits
{
  return traffic_.Limits().MostSince(answeredAt_);
}

auto CallerConnection::HasUnread() -> bool
{
  return socket_.is_open() && ProbeIdle(socket_) == IdleState::HasBytes;
}

auto CallerConnection::CloseAfter(Duration aTime, std::string_view aPhase,
                                  Duration aSpent) -> void
{
  deadline_.Arm(aTime - aSpent, [this, aTime, aPhase](auto aLate) {
    OnTimeOver(aTime, aLate, aPhase);
  });
}

auto CallerConnection::OnTimeOver(Duration aTime, Duration aLate,
                                  std::string_view aPhase) -> void
{
  // Looked up only now: a new configuration must not touch every connection.
  const auto limits = Limits();
  const auto allowed = aPhase == kIdlePhase || aPhase == kBodyPhase
                         ? limits.idleTimeout_
                       : aPhase == kHeaderPhase ? limits.headerTimeout_
                                                : Duration{};
  if (allowed > aTime + aLate) {
    CloseAfter(allowed, aPhase, aTime + aLate);
    return;
  }
  const auto unread = HasUnread();
  if (aPhase != kIdlePhase || unread || !serving_.empty()) {
    Log::Write(LogLevel::Warning, "caller_timed_out",
               { { "phase", std::string(aPhase) },
                 { "late_ms", std::to_string(ToMilliseconds(aLate)) },
                 { "unread", unread ? "true" : "false" },
                 { "request", serving_ } });
  }
  traffic_.Metrics().Count("caller_timed_out_" + std::string(aPhase));
  End(CallerEnd::TimedOut, "timed_out_" + std::string(aPhase));
}

} // namespace goldcrestcroft
