#include "CallerConnection.h"

#include "../Observability/Log.h"
#include "Traffic.h"

namespace goldcrestcroft {

auto CallerConnection::Limits() const -> ClientLimits
{
  return traffic_.Limits().MaxSince(lastResponseAt_);
}

auto CallerConnection::HasUnread() -> bool
{
  return socket_.is_open() && ProbeIdle(socket_) == IdleState::HasBytes;
}

auto CallerConnection::CloseAfter(Duration aTimeout, std::string_view aPhase,
                                  Duration aElapsed) -> void
{
  deadline_.Arm(aTimeout - aElapsed, [this, aTimeout, aPhase](auto aLate) {
    OnTimeout(aTimeout, aLate, aPhase);
  });
}

auto CallerConnection::OnTimeout(Duration aTimeout, Duration aLate,
                                 std::string_view aPhase) -> void
{
  // The limits are looked up only on expiry, so that a new configuration does
  // not have to update every connection.
  const auto limits = Limits();
  const auto allowed = aPhase == kIdlePhase || aPhase == kBodyPhase
                         ? limits.idleTimeout_
                       : aPhase == kHeaderPhase ? limits.headerTimeout_
                                                : Duration{};
  if (allowed > aTimeout + aLate) {
    CloseAfter(allowed, aPhase, aTimeout + aLate);
    return;
  }
  const auto unread = HasUnread();
  if (aPhase != kIdlePhase || unread || !requestId_.empty()) {
    Log::Write(LogLevel::Warning, "caller_timed_out",
               { { "phase", std::string(aPhase) },
                 { "late_ms", std::to_string(ToMilliseconds(aLate)) },
                 { "unread", unread ? "true" : "false" },
                 { "request", requestId_ } });
  }
  traffic_.Metrics().Count("caller_timed_out_" + std::string(aPhase));
  End(CallerCloseReason::TimedOut, "timed_out_" + std::string(aPhase));
}

} // namespace goldcrestcroft
