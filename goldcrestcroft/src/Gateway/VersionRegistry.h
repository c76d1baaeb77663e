#pragma once

#include "../../Routing.h"
#include "ClearAtEnd.h"
#include "GatewayMetrics.h"
#include "MetadataStore.h"

#include <functional>
#include <map>
#include <set>

namespace goldcrestcroft {

/** \brief The software versions of each service, in a row of the platform's
 * store that all hosts extend as versions appear.
 *
 * All hosts agree on the order of the versions, since a host extends a row only
 * if it has not changed since it was read. The first version of a row is the
 * base version, see docs/design/streams.md. One thread. */
class VersionRegistry
{
public:
  struct Options
  {
    std::string host_;
    /** Returns the number of live hosts, this one included. */
    std::function<std::size_t()> hosts_;
    /** Returns whether this host is the one that removes versions. */
    std::function<bool()> removes_;
    /** Returns whether a reply is of the latest era of the store. */
    std::function<bool(const StoreReply&)> isCurrent_;
    /** How long a version stays after its last engine has gone: longer than
     * clients take its streams up again. */
    Duration retention_ = std::chrono::minutes{ 2 };
    /** A version that was gone for this long may have been removed by a host
     * that did not see it return. */
    Duration maxAbsence_ = std::chrono::seconds{ 30 };
    /** Streams do not wait for a registration that takes longer. */
    Duration maxRegistration_ = std::chrono::seconds{ 1 };
    Duration checkInterval_ = std::chrono::seconds{ 5 };
    /** Bounds of the delay between attempts of a call. */
    Duration minRetryDelay_ = std::chrono::milliseconds{ 50 };
    Duration maxRetryDelay_ = std::chrono::milliseconds{ 1000 };
    /** Calls a second of all hosts together for a version that appears. */
    double callsPerSecond_ = 200.0;
  };

  VersionRegistry(asio::io_context& aContext, Options aOptions,
                  MetadataStore& aStore, GatewayMetrics& aMetrics)
    : context_(aContext)
    , options_(std::move(aOptions))
    , store_(aStore)
    , metrics_(aMetrics)
  {
  }

  /** \brief Registers the versions of the engines of these services that are
   * new. */
  auto OnEngines(const EngineList& aEngines,
                 const std::set<std::string>& aServices) -> void;
  /** \brief The store was restored from an older copy: registers all known
   * versions again. */
  auto OnStoreRestored() -> void;
  /** \brief Reads the versions of the service from the store; none if it does
   * not reply. */
  auto Read(std::string aService) -> Task<std::optional<VersionList>>;
  /** \brief The versions that the store is known to have; none before it
   * replied for the first time. */
  [[nodiscard]] auto Stored(const std::string& aService) const
    -> std::optional<VersionList>;
  /** \brief The versions of the engines that are registered now. */
  [[nodiscard]] auto InUse(const std::string& aService) const -> VersionList;
  [[nodiscard]] auto IsStored(const std::string& aService,
                              const std::string& aVersion) const -> bool;
  /** \brief Whether the version is in use for longer than its registration
   * takes while the store replies. */
  [[nodiscard]] auto HasWaited(const std::string& aService,
                               const std::string& aVersion) const -> bool;
  /** \brief For how long the store lacks something that this host knows of the
   * service; zero if it does not. */
  [[nodiscard]] auto UpdatingFor(const std::string& aService) const -> Duration;
  /** \brief Removes versions that are no longer used, if this host does. */
  auto Maintain() -> Task<void>;

private:
  struct Version
  {
    TimePoint appearedAt_;
    /** When the last engine with the version was gone. */
    std::optional<TimePoint> goneAt_;
  };
  struct Service
  {
    std::optional<VersionList> stored_;
    /** The row as it was last read or written. */
    VersionList row_;
    /** Number of the row's version; 0 if there is no row. */
    std::uint64_t revision_ = 0;
    std::map<std::string, Version> versions_;
    bool updating_ = false;
    TimePoint updateBeganAt_;
    /** The row may lack versions that were in it. */
    bool restored_ = false;
    /** A version that was gone for a while is in use again, and may have been
     * removed from the row. */
    bool returned_ = false;
  };

  [[nodiscard]] auto Wanted(const Service& aService) const -> VersionList;
  /** \brief The versions that have been gone for long enough. */
  [[nodiscard]] auto Expired(const Service& aService) const
    -> std::vector<std::string>;
  /** \brief Reads the row and extends it until it has all versions in use. */
  auto Update(std::string aService) -> Task<void>;
  auto StartUpdate(const std::string& aService) -> void;
  /** \brief Replaces the row by the list if it has not changed; returns whether
   * it did. */
  auto Replace(std::string aService, VersionList aVersions) -> Task<bool>;
  /** \brief A random time over which hosts spread calls that come together. */
  [[nodiscard]] auto Spread() const -> Duration;
  auto Pause(Duration aTime) -> Task<void>;

  asio::io_context& context_;
  Options options_;
  MetadataStore& store_;
  GatewayMetrics& metrics_;
  SuspendAwareClock clock_;
  std::map<std::string, Service> services_;
};

} // namespace goldcrestcroft
