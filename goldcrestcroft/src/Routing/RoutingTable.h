#pragma once

#include "ClientLimits.h"
#include "KeyHolder.h"
#include "Route.h"
#include "ServiceProfile.h"

#include <map>
#include <string_view>
#include <vector>

namespace goldcrestcroft {

/** \brief One version of the operator's configuration, indexed for look-ups. */
class RoutingTable
{
public:
  struct Options
  {
    VersionNumber version_ = 0;
    std::vector<Route> routes_;
    std::vector<ServiceProfile> services_;
    ClientLimits limits_;
    std::map<std::string, KeyHolder> keys_;
    /** Whether routes that are not anonymous require an API key. */
    bool requiresApiKey_ = false;
  };

  RoutingTable() = default;
  explicit RoutingTable(Options aOptions);

  [[nodiscard]] auto Version() const -> VersionNumber
  {
    return options_.version_;
  }
  [[nodiscard]] auto Limits() const -> const ClientLimits&
  {
    return options_.limits_;
  }
  [[nodiscard]] auto RequiresApiKey() const -> bool
  {
    return options_.requiresApiKey_;
  }

  [[nodiscard]] auto Routes() const -> const std::vector<Route>&
  {
    return options_.routes_;
  }
  /** \brief The route of the host with the longest prefix that matches the
   * path; nullptr if there is none. Ignores a port in aHost and a query in
   * aPath. */
  [[nodiscard]] auto FindRoute(std::string_view aHost,
                               std::string_view aPath) const -> const Route*;
  /** \brief The holder of the API key; nullptr if the key is unknown. */
  [[nodiscard]] auto FindKey(const std::string& aKey) const -> const KeyHolder*;
  [[nodiscard]] auto FindService(const std::string& aName) const
    -> const ServiceProfile*;
  /** \brief By service, the requests per second that an engine tolerates while
   * it warms up; only services with such a limit. */
  [[nodiscard]] auto WarmUpRates() const -> std::map<std::string, double>;

private:
  Options options_;
  /** By host, longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> byHost_;
  std::map<std::string, std::size_t> serviceIndex_;
};

/** \brief Chooses the service for a request. A uniform aUnit in [0, 1) splits
 * requests by the weights. Empty if no target has a weight. */
auto ChooseService(const Route& aRoute, double aUnit) -> std::string;

} // namespace goldcrestcroft
