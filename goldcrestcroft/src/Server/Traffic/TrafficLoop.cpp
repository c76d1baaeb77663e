#include "TrafficLoop.h"

namespace goldcrestcroft {

namespace {

constexpr Duration kTick = std::chrono::milliseconds{ 5 };

} // namespace

TrafficLoop::TrafficLoop(const Options& aOptions, Metrics& aMetrics,
                         std::function<ControlViewPtr()> aView,
                         std::function<void(ControlMessage)> aToControl)
  : http_({ .maxIdle_ = aOptions.settings_.backends_.idle_ })
  , table_({ .address_ = aOptions.settings_.platform_.table_,
             .timeout_ = aOptions.settings_.platform_.timeout_,
             .memory_ = aOptions.memory_ },
           http_, aMetrics)
  , engine_({ .settings_ = aOptions.settings_,
              .incarnation_ = aOptions.incarnation_,
              .seed_ = aOptions.seed_ },
            http_, table_, aMetrics, std::move(aToControl))
  , latestView_(std::move(aView))
  , mailbox_([this] { http_.Wake(); })
  , lastBusy_(clock_.Now())
{
}

auto TrafficLoop::Run() -> void
{
  while (!stopped_) {
    Iterate();
  }
}

auto TrafficLoop::Stop() -> void
{
  stopped_ = true;
  http_.Wake();
}

auto TrafficLoop::Wait() -> void
{
  const auto blocked = engine_.SocketsAwaitingWrite();
  std::vector<WatchedDescriptor> watched;
  for (const auto& socket : blocked) {
    const auto descriptor = socket->PendingWriteDescriptor();
    if (descriptor >= 0) {
      watched.push_back({ .descriptor_ = descriptor, .forWriting_ = true });
    }
  }
  const auto left = std::max(nextTick_ - clock_.Now(), Duration{ 0 });
  http_.Poll(left, watched);
  for (const auto& socket : blocked) {
    socket->Flush();
  }
}

auto TrafficLoop::Iterate() -> void
{
  Wait();
  auto messages = mailbox_.TakeAll();
  // A request is posted only after its check against a published view, so the
  // view read here is at least as new as that one.
  if (auto view = latestView_(); view != view_) {
    view_ = view;
    engine_.Adopt(std::move(view));
  }
  for (auto& message : messages) {
    ProcessMessage(std::move(message));
  }
  const auto now = clock_.Now();
  if (now >= nextTick_) {
    nextTick_ = now + kTick;
    engine_.Tick();
  }
  if (!engine_.IsIdle()) {
    lastBusy_ = now;
  }
}

auto TrafficLoop::ProcessMessage(TrafficMessage aMessage) -> void
{
  if (auto* request = std::get_if<IncomingRequest>(&aMessage)) {
    lastBusy_ = clock_.Now();
    engine_.OnIncoming(std::move(*request));
  } else if (const auto* load = std::get_if<PeerLoadReceived>(&aMessage)) {
    engine_.OnPeerLoad(load->load_);
  } else if (const auto* lost = std::get_if<PeerLost>(&aMessage)) {
    engine_.OnPeerGone(lost->host_);
  } else if (const auto* poison =
               std::get_if<QuarantineUpdatesReceived>(&aMessage)) {
    engine_.OnQuarantineUpdates(poison->updates_);
  }
}

} // namespace goldcrestcroft
