#include "TrafficLoop.h"

namespace goldcrestcroft {

namespace {

constexpr Duration kTick = std::chrono::milliseconds{ 5 };

} // namespace

TrafficLoop::TrafficLoop(const Options& aOptions, Metrics& aMetrics,
                         std::function<ControlViewPtr()> aView,
                         std::function<void(ControlMail)> aToControl)
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
  , mail_([this] { http_.Wake(); })
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
  const auto blocked = engine_.Blocked();
  std::vector<WatchedDescriptor> watched;
  for (const auto& socket : blocked) {
    const auto descriptor = socket->WaitingDescriptor();
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
  auto mails = mail_.TakeAll();
  // Whoever posted a request had already seen the view that it was checked
  // against, so the newest view is at least that one.
  if (auto view = latestView_(); view != view_) {
    view_ = view;
    engine_.Adopt(std::move(view));
  }
  for (auto& mail : mails) {
    OnMail(std::move(mail));
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

auto TrafficLoop::OnMail(TrafficMail aMail) -> void
{
  if (auto* request = std::get_if<IncomingRequest>(&aMail)) {
    lastBusy_ = clock_.Now();
    engine_.OnIncoming(std::move(*request));
  } else if (const auto* load = std::get_if<PeerLoadHeard>(&aMail)) {
    engine_.OnPeerLoad(load->load_);
  } else if (const auto* lost = std::get_if<PeerLost>(&aMail)) {
    engine_.OnPeerGone(lost->host_);
  } else if (const auto* poison = std::get_if<PoisonHeard>(&aMail)) {
    engine_.OnPoisonNews(poison->news_);
  }
}

} // namespace goldcrestcroft
