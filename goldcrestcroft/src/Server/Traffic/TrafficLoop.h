#pragma once

#include "../Mailbox.h"
#include "RequestEngine.h"
#include "TrafficMail.h"

#include <atomic>

namespace goldcrestcroft {

/** \brief The thread that carries requests: it owns the RequestEngine and its
 * connections to backend servers. */
class TrafficLoop
{
public:
  struct Options
  {
    Settings settings_;
    Incarnation incarnation_ = 0;
    std::uint64_t seed_ = 0;
    /** For an embedded host. */
    std::shared_ptr<SharedMemoryTable> memory_;
  };

  /** aView gives the newest view of the control thread. */
  TrafficLoop(const Options& aOptions, Metrics& aMetrics,
              std::function<ControlViewPtr()> aView,
              std::function<void(ControlMail)> aToControl);

  /** \brief Runs until Stop; call on its own thread. */
  auto Run() -> void;
  auto Stop() -> void;
  auto Post(TrafficMail aMail) -> void { mail_.Post(std::move(aMail)); }
  /** \brief When a request was last accepted or under way. Any thread. */
  [[nodiscard]] auto LastBusy() const -> TimePoint { return lastBusy_.load(); }

private:
  auto Iterate() -> void;
  auto Wait() -> void;
  auto OnMail(TrafficMail aMail) -> void;

  SteadyClock clock_;
  HttpClient http_;
  PlatformTable table_;
  RequestEngine engine_;
  std::function<ControlViewPtr()> latestView_;
  ControlViewPtr view_;
  Mailbox<TrafficMail> mail_;
  TimePoint nextTick_{};
  std::atomic<TimePoint> lastBusy_;
  std::atomic<bool> stopped_ = false;
};

} // namespace goldcrestcroft
