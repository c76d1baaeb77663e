#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

/** Timeout for an owner's reply: a busy host with a tenth of a core, in another
 * zone, answers within 100 ms. Two such timeouts fit into the time allowed for
 * obtaining a permit. */
constexpr auto kOwnerTimeout = std::chrono::milliseconds{ 150 };
/** An owner that did not answer is not asked for this time. The same holds for
 * permits of an engine none of whose owners answers. */
constexpr auto kUnansweredDelay = std::chrono::milliseconds{ 500 };

} // namespace

auto ControlPlane::DisseminateLimit(const EngineLimit& aLimit) -> void
{
  if (limits_.Merge(aLimit, clock_.Now()) == LimitTable::MergeResult::Changed) {
    PushHeartbeats();
  }
}

auto ControlPlane::MergeLimit(const EngineLimit& aLimit) -> void
{
  if (limits_.Merge(aLimit, clock_.Now()) != LimitTable::MergeResult::Ignored) {
    listener_.onLimit_(aLimit);
  }
}

auto ControlPlane::MaintainLimits() -> void
{
  const auto now = clock_.Now();
  limits_.Expire(now);
  issuer_.Expire(now);
  std::erase_if(unresponsiveOwners_,
                [&](const auto& aItem) { return aItem.second <= now; });
}

auto ControlPlane::Issue(const PermitQuery& aQuery) -> Permit
{
  const auto now = clock_.Now();
  // A query without an advertised limit states nothing about it.
  if (aQuery.limit_.perSecond_ || !aQuery.warmUpPerSecond_) {
    MergeLimit(FromReport(aQuery.limit_, now));
  }
  const EngineIncarnation incarnation(aQuery.limit_.engine_,
                                      aQuery.limit_.startedAt_);
  const auto rate = RateOf(aQuery, limits_.Find(incarnation));
  if (!rate) {
    // The limit has ended; the reply reports that to the sender.
    return { .granted_ = true };
  }
  return issuer_.Take(incarnation, *rate, aQuery.maxWait_, now);
}

auto ControlPlane::OnPermitQuery(const PermitQuery& aQuery,
                                 const std::string& aAddress) -> void
{
  const auto permit = Issue(aQuery);
  FleetHeartbeat heartbeat{ .permits_ = { { .number_ = aQuery.number_,
                                            .permit_ = permit } } };
  const EngineIncarnation incarnation(aQuery.limit_.engine_,
                                      aQuery.limit_.startedAt_);
  if (const auto limit = limits_.Find(incarnation);
      limit && limit->perSecond_ != aQuery.limit_.perSecond_) {
    heartbeat.limits_.push_back(ToReport(*limit, clock_.Now()));
  }
  SendDirect(aAddress, std::move(heartbeat));
}

auto ControlPlane::OnPermitReply(const PermitReply& aAnswer) -> void
{
  const auto found = pendingPermits_.find(aAnswer.number_);
  if (found == pendingPermits_.end()) {
    return; // The reply came too late: its permit is lost.
  }
  found->second->permit_ = aAnswer.permit_;
  found->second->answered_.cancel();
}

auto ControlPlane::AskOwner(std::string aAddress, PermitQuery aQuery)
  -> Task<std::optional<Permit>>
{
  aQuery.number_ = ++lastPermitNumber_;
  const auto pending = std::make_shared<PendingPermitQuery>(PendingPermitQuery{
    .answered_ = asio::steady_timer(context_, kOwnerTimeout) });
  pendingPermits_.emplace(aQuery.number_, pending);
  SendDirect(aAddress, { .permitQueries_ = { aQuery } });
  co_await pending->answered_.async_wait(kAsTuple);
  pendingPermits_.erase(aQuery.number_);
  co_return pending->permit_;
}

auto ControlPlane::AcquirePermit(PermitRequest aRequest) -> Task<void>
{
  const EngineIncarnation incarnation(aRequest.limits_.engine_,
                                      aRequest.limits_.startedAt_);
  PermitReply answer{ .number_ = aRequest.number_,
                      .permit_ = { .wait_ = kUnansweredDelay } };
  // Right after its start a host knows too few others to determine the owners.
  const auto owners =
    settled_ ? issuer_.Owners(incarnation) : std::vector<std::string>{};
  for (const auto& owner : owners) {
    const auto host = HostOfOwner(owner);
    const auto* known = published_.Find(host);
    if (known == nullptr || unresponsiveOwners_.contains(owner)) {
      continue;
    }
    const auto query = ToQuery(aRequest, clock_.Now());
    std::optional<Permit> permit;
    if (host == options_.settings_.host_) {
      permit = Issue(query);
    } else {
      permit = co_await AskOwner(known->peerAddress_, query);
    }
    if (permit) {
      answer.permit_ = *permit;
      break;
    }
    unresponsiveOwners_[owner] = clock_.Now() + kUnansweredDelay;
    Log::Write(LogLevel::Info, "permit_keeper_silent",
               { { "engine", incarnation.first }, { "keeper", host } });
  }
  listener_.onPermit_(answer);
}

auto ControlPlane::RequestPermit(const PermitRequest& aRequest) -> void
{
  asio::co_spawn(context_, AcquirePermit(aRequest),
                 LogFailure{ "find_permit" });
}

} // namespace goldcrestcroft
