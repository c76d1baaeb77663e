#pragma once

#include "Control/ControlLoop.h"
#include "Http/CallerServer.h"
#include "Traffic/TrafficLoop.h"

#include <memory>
#include <thread>

namespace goldcrestcroft {

/** \brief One entry host: owns its threads, from start to planned stop. */
class EntryHost
{
public:
  struct Options
  {
    Settings settings_;
    /** Keep the platform state in memory; for a single host and for trials. */
    bool embedded_ = false;
    /** Configuration document that an embedded host starts with. */
    std::string embeddedConfig_;
  };

  /** \brief Starts all threads. Fails with Unavailable when an address cannot
   * be bound, with InvalidConfiguration on a bad embedded document. */
  static auto Start(Options aOptions) -> Result<std::unique_ptr<EntryHost>>;
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  auto operator=(const EntryHost&) -> EntryHost& = delete;

  /** \brief Performs a planned stop: directs callers to other hosts and keeps
   * serving until the host lists that callers hold have expired and nothing is
   * in flight. Blocks until then, at most for the setting stop_ms. */
  auto StopGracefully() -> void;

private:
  EntryHost(const Options& aOptions, PeerSocket aSocket,
            std::shared_ptr<SharedMemoryTable> aMemory);

  Settings settings_;
  Metrics metrics_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<TrafficLoop> traffic_;
  std::unique_ptr<CallerServer> callers_;
  std::thread controlThread_;
  std::thread trafficThread_;
};

} // namespace goldcrestcroft
