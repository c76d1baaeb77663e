#pragma once

#include "ControlPlane.h"
#include "Loop.h"
#include "SmallServer.h"
#include "Traffic.h"

#include <thread>

namespace goldcrestcroft {

/** \brief The entry host as a process: one thread for control state, one for
 * traffic, and the signals. */
class EntryGateway
{
public:
  struct Options
  {
    NodeSettings settings_;
    /** Where the settings came from, for a reload. */
    std::string settingsFile_;
    Incarnation incarnation_ = 1;
  };
  using MakeStore =
    std::function<std::unique_ptr<MetadataStore>(asio::io_context&)>;

  EntryGateway(Options aOptions, const PlatformCodec& aCodec,
               const MakeStore& aMakeStore);

  /** \brief Serves until it is told to stop. Fails with Unavailable if an
   * address cannot be used. */
  auto Run() -> Result<void>;

private:
  auto Listener() -> ControlListener;
  auto StartSmallServers() -> Result<void>;
  auto AwaitSignals() -> Task<void>;
  /** \brief Reads the settings again when their file changes. */
  auto WatchSettings() -> Task<void>;
  auto Reload() -> void;
  auto StopGracefully() -> Task<void>;
  auto Directory(const std::string& aTarget) const -> SmallServer::Answer;
  auto Ready() const -> SmallServer::Answer;

  Options options_;
  const PlatformCodec& codec_;
  Loop controlContext_;
  Loop trafficContext_;
  GatewayMetrics metrics_;
  std::unique_ptr<MetadataStore> store_;
  Traffic traffic_;
  ControlPlane control_;
  SmallServer ready_;
  SmallServer directory_;
  SmallServer exposition_;
};

} // namespace goldcrestcroft
