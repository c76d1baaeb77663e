#pragma once

#include "../Mailbox.h"
#include "RequestEngine.h"
#include "TrafficMessage.h"

#include <atomic>

namespace goldcrestcroft {

/** \brief Event loop of the traffic thread. It owns the RequestEngine and the
 * connections to backend servers. */
class TrafficLoop
{
public:
  struct Options
  {
    Settings settings_;
    Incarnation incarnation_ = 0;
    std::uint64_t seed_ = 0;
    /** In-memory table service; set only for an embedded host. */
    std::shared_ptr<SharedMemoryTable> memory_;
  };

  /** \brief aView returns the newest view that the control thread published. */
  TrafficLoop(const Options& aOptions, Metrics& aMetrics,
              std::function<ControlViewPtr()> aView,
              std::function<void(ControlMessage)> aToControl);

  /** \brief Blocks until Stop is called; call on a dedicated thread. */
  auto Run() -> void;
  auto Stop() -> void;
  auto Post(TrafficMessage aMessage) -> void
  {
    mailbox_.Post(std::move(aMessage));
  }
  /** \brief When a request was last accepted or in progress. May be called from
   * any thread. */
  [[nodiscard]] auto LastBusy() const -> TimePoint { return lastBusy_.load(); }

private:
  auto Iterate() -> void;
  auto Wait() -> void;
  auto ProcessMessage(TrafficMessage aMessage) -> void;

  SteadyClock clock_;
  HttpClient http_;
  PlatformTable table_;
  RequestEngine engine_;
  std::function<ControlViewPtr()> latestView_;
  ControlViewPtr view_;
  Mailbox<TrafficMessage> mailbox_;
  TimePoint nextTick_{};
  std::atomic<TimePoint> lastBusy_;
  std::atomic<bool> stopped_ = false;
};

} // namespace goldcrestcroft
