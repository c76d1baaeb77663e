#pragma once

#include "Control/ControlLoop.h"
#include "Http/CallerServer.h"
#include "Traffic/TrafficLoop.h"

#include <memory>
#include <thread>

namespace goldcrestcroft {

/** \brief One entry host: its threads, from start to planned stop. */
class EntryHost
{
public:
  struct Options
  {
    Settings settings_;
    /** Keep the platform's part in memory; for one host and a first try. */
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

  /** \brief A planned stop: sends callers elsewhere, serves on until their kept
   * answers have expired and nothing is under way. Blocks until then, at most
   * for the setting stop_ms. */
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
