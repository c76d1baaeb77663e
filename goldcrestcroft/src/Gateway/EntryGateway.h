#pragma once

#include "ControlPlane.h"
#include "EventLoop.h"
#include "SimpleHttpServer.h"
#include "Traffic.h"

#include <thread>

namespace goldcrestcroft {

/** \brief The entry host as a process: one thread for control state, one for
 * traffic, and signal handling. */
class EntryGateway
{
public:
  struct Options
  {
    NodeSettings settings_;
    /** File that the settings were read from, for a reload. */
    std::string settingsFile_;
    Incarnation incarnation_ = 1;
  };
  /** \brief Makes a client of the store whose calls time out after aTimeout,
   * beyond the time that they ask the store to wait. */
  using MakeStore = std::function<std::unique_ptr<MetadataStore>(
    asio::io_context&, Duration aTimeout)>;

  EntryGateway(Options aOptions, const PlatformCodec& aCodec,
               const MakeStore& aMakeStore);

  /** \brief Serves until a signal stops the process. Fails with Unavailable if
   * an address cannot be used for longer than another process needs to stop. */
  auto Run() -> Result<void>;

private:
  auto MakeListener() -> ControlListener;
  /** \brief Opens all ports and starts all tasks. */
  auto StartAll(const BindRetry& aRetry) -> Result<void>;
  /** \brief Like StartAll, and waits while a port is taken. Returns false if a
   * signal stops the process meanwhile. */
  auto StartUnlessStopped() -> Result<bool>;
  auto DestroyHandlers() -> void;
  auto AwaitSignals() -> Task<void>;
  /** \brief Reloads the settings when their file changes. */
  auto WatchSettings() -> Task<void>;
  auto Reload() -> void;
  auto StopGracefully() -> Task<void>;
  auto ServeDirectory(const std::string& aTarget) const
    -> SimpleHttpServer::Response;
  auto ServeReadiness() const -> SimpleHttpServer::Response;

  Options options_;
  const PlatformCodec& codec_;
  EventLoop controlContext_;
  EventLoop trafficContext_;
  GatewayMetrics metrics_;
  std::unique_ptr<MetadataStore> store_;
  std::unique_ptr<MetadataStore> trafficStore_;
  Traffic traffic_;
  ControlPlane control_;
  SimpleHttpServer ready_;
  SimpleHttpServer directory_;
  SimpleHttpServer exposition_;
};

} // namespace goldcrestcroft
