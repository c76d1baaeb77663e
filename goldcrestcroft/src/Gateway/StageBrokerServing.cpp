#include "../Observability/Log.h"
#include "StageBroker.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Interval at which a coordinator publishes its backlog. */
constexpr auto kBacklogInterval = std::chrono::milliseconds{ 100 };
/** Shorter waits alone do not cause a report. */
constexpr auto kMinReportedWait = std::chrono::milliseconds{ 20 };

} // namespace

auto StageBroker::PublishBacklogs() -> Task<void>
{
  asio::steady_timer timer(context_);
  for (;;) {
    timer.expires_after(kBacklogInterval);
    co_await timer.async_wait(kAsTuple);
    ExpireUnreachable();
    for (const auto& backlog : batcher_.Backlogs()) {
      const auto waits = std::any_of(
        backlog.waits_.begin(), backlog.waits_.end(),
        [](const auto& aItem) { return aItem.second > kMinReportedWait; });
      auto& last = backlogs_[backlog.service_];
      const auto changed = last.backlog_.waits_ != backlog.waits_;
      last = { .backlog_ = backlog, .receivedAt_ = clock_.Now() };
      if (waits || changed) {
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
                { "reason", aLink->CloseReason() } });
            for (const auto& [number, order] : served->second.orders_) {
              batcher_.Cancel(order.first, order.second);
            }
            served_.erase(served);
          } });
    served_[link.get()] = { .link_ = link };
    link->Start();
  }
}

auto StageBroker::ServeOrder(const std::shared_ptr<PeerLink>& aLink,
                             StageOrderRequest aRequest) -> void
{
  const auto now = clock_.Now();
  auto order = std::move(aRequest.order_);
  const auto number = order.id_;
  const auto service = order.service_;
  if (CoordinatorOf(service) != fleet_->self_) {
    // Hosts disagree on the coordinator, so another may call the engines too.
    batcher_.OnPossibleContention(service);
  }
  order.deadline_ = now + aRequest.timeLeft_;
  order.dueAt_ = now + aRequest.dueIn_;
  const auto batcherOrder = batcher_.Place(
    std::move(order),
    [weak = std::weak_ptr(aLink), number](std::vector<PieceResult> aResults) {
      if (const auto link = weak.lock()) {
        link->Send(StageOrderResults{ .order_ = number,
                                      .results_ = std::move(aResults) });
      }
    });
  const auto served = served_.find(aLink.get());
  if (served != served_.end()) {
    served->second.orders_[number] = { service, batcherOrder };
  }
}

auto StageBroker::OnServedFrame(const std::shared_ptr<PeerLink>& aLink,
                                PeerFrame aFrame) -> void
{
  const auto served = served_.find(aLink.get());
  if (served == served_.end()) {
    return; // The connection has ended; its orders are cancelled.
  }
  if (auto* request = std::get_if<StageOrderRequest>(&aFrame)) {
    ServeOrder(aLink, std::move(*request));
    return;
  }
  if (const auto* cancel = std::get_if<StageOrderCancel>(&aFrame)) {
    auto& orders = served->second.orders_;
    const auto order = orders.find(cancel->order_);
    if (order != orders.end()) {
      batcher_.Cancel(order->second.first, order->second.second);
      orders.erase(order);
    }
    return;
  }
  if (const auto* notice = std::get_if<StagePlanNotice>(&aFrame)) {
    const auto plan = batcher_.Plan(
      notice->service_, { .pieces_ = notice->pieces_,
                          .rank_ = notice->rank_,
                          .dueAt_ = clock_.Now() + notice->dueIn_ });
    served->second.orders_[notice->order_] = { notice->service_, plan };
    return;
  }
  if (const auto* release = std::get_if<StageRelease>(&aFrame)) {
    batcher_.Release(release->service_, release->handles_);
  }
}

} // namespace goldcrestcroft
