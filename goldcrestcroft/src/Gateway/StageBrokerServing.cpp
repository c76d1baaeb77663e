#include "../Observability/Log.h"
#include "StageBroker.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** How often a collector tells its backlog. */
constexpr auto kTellBacklog = std::chrono::milliseconds{ 100 };
/** A wait below this is not worth telling. */
constexpr auto kLeastWait = std::chrono::milliseconds{ 20 };

} // namespace

auto StageBroker::SpreadBacklogs() -> Task<void>
{
  asio::steady_timer timer(context_);
  for (;;) {
    timer.expires_after(kTellBacklog);
    co_await timer.async_wait(kAsTuple);
    ForgetPassedOver();
    for (const auto& backlog : desk_.Backlogs()) {
      const auto waits = std::any_of(
        backlog.waits_.begin(), backlog.waits_.end(),
        [](const auto& aItem) { return aItem.second > kLeastWait; });
      auto& last = backlogs_[backlog.service_];
      const auto told = last.backlog_.waits_ != backlog.waits_;
      last = { .backlog_ = backlog, .heardAt_ = clock_.Now() };
      if (waits || told) {
        for (const auto& [id, served] : served_) {
          served.link_->Send(backlog);
        }
      }
    }
  }
}

auto StageBroker::Accept() -> Task<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    const auto link = std::make_shared<PeerLink>(
      std::move(socket),
      PeerLink::Options{
        .onFrame_ =
          [this](const auto& aLink, PeerFrame aFrame) {
            OnServedFrame(aLink, std::move(aFrame));
          },
        .onEnd_ =
          [this](const auto& aLink) {
            const auto served = served_.find(aLink.get());
            if (served == served_.end()) {
              return;
            }
            Log::Write(
              LogLevel::Info, "asking_host_lost",
              { { "orders", std::to_string(served->second.orders_.size()) },
                { "reason", aLink->WhyEnded() } });
            for (const auto& [number, order] : served->second.orders_) {
              desk_.Cancel(order.first, order.second);
            }
            served_.erase(served);
          } });
    served_[link.get()] = { .link_ = link };
    link->Start();
  }
}

auto StageBroker::ServeAsk(const std::shared_ptr<PeerLink>& aLink,
                           StageAsk aAsk) -> void
{
  const auto now = clock_.Now();
  auto order = std::move(aAsk.order_);
  const auto number = order.id_;
  const auto service = order.service_;
  if (CollectorOf(service) != fleet_->self_) {
    // Hosts differ on who collects; another may call the engines too.
    desk_.OnOtherCallers(service);
  }
  order.deadline_ = now + aAsk.timeLeft_;
  order.dueAt_ = now + aAsk.dueIn_;
  const auto deskOrder =
    desk_.Place(std::move(order), [weak = std::weak_ptr(aLink),
                                   number](std::vector<PieceResult> aResults) {
      if (const auto link = weak.lock()) {
        link->Send(
          StageTell{ .order_ = number, .results_ = std::move(aResults) });
      }
    });
  const auto served = served_.find(aLink.get());
  if (served != served_.end()) {
    served->second.orders_[number] = { service, deskOrder };
  }
}

auto StageBroker::OnServedFrame(const std::shared_ptr<PeerLink>& aLink,
                                PeerFrame aFrame) -> void
{
  const auto served = served_.find(aLink.get());
  if (served == served_.end()) {
    return; // Its end is known; what it placed is cancelled.
  }
  if (auto* ask = std::get_if<StageAsk>(&aFrame)) {
    ServeAsk(aLink, std::move(*ask));
    return;
  }
  if (const auto* drop = std::get_if<StageDrop>(&aFrame)) {
    auto& orders = served->second.orders_;
    const auto order = orders.find(drop->order_);
    if (order != orders.end()) {
      desk_.Cancel(order->second.first, order->second.second);
      orders.erase(order);
    }
    return;
  }
  if (const auto* notice = std::get_if<StageNotice>(&aFrame)) {
    const auto plan =
      desk_.Plan(notice->service_, { .pieces_ = notice->pieces_,
                                     .rank_ = notice->rank_,
                                     .dueAt_ = clock_.Now() + notice->dueIn_ });
    served->second.orders_[notice->order_] = { notice->service_, plan };
    return;
  }
  if (const auto* release = std::get_if<StageRelease>(&aFrame)) {
    desk_.Release(release->service_, release->handles_);
  }
}

} // namespace goldcrestcroft
