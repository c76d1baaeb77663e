#pragma once

#include "../../Observability/Metrics.h"
#include "../Control/ControlMessage.h"
#include "../Control/ControlView.h"
#include "../Settings.h"
#include "../Traffic/TrafficMessage.h"

#include <memory>

namespace goldcrestcroft {

/** \brief The HTTP server for callers and operators, based on Pistache. */
class CallerServer
{
public:
  struct Options
  {
    Settings settings_;
    Incarnation incarnation_ = 0;
    std::function<ControlViewPtr()> view_;
    /** Whether the view is recent enough to admit requests. */
    std::function<bool()> isFresh_;
    std::function<void(TrafficMessage)> toTraffic_;
    std::function<void(ControlMessage)> toControl_;
  };

  CallerServer(Options aOptions, Metrics& aMetrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  auto operator=(const CallerServer&) -> CallerServer& = delete;

  /** \brief Starts the threads; fails with Unavailable when the address cannot
   * be bound. */
  auto Start() -> Result<void>;
  auto Stop() -> void;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace goldcrestcroft
