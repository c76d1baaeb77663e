#pragma once

#include "EnginePool.h"

#include <functional>
#include <set>

namespace goldcrestcroft {

/** \brief Finds out when the engines of a service return after all of them have
 * fallen silent, and ends their suspensions. Traffic thread only. */
class OutageMonitor
{
public:
  struct Options
  {
    /** How long an engine may take to respond. An engine that stands still
     * responds when it goes on, so that this is also how soon that is noticed.
     */
    Duration timeout_ = std::chrono::milliseconds{ 1000 };
    Duration checkInterval_ = std::chrono::milliseconds{ 50 };
    /** Name of this entry host. */
    std::string host_;
    /** Path of the request for the health of the service's engines. */
    std::function<std::string(const std::string& aService)> healthPath_ =
      [](const std::string&) { return ""; };
    /** Number of entry hosts. */
    std::function<std::size_t()> hosts_ = [] { return std::size_t{ 1 }; };
  };

  OutageMonitor(asio::io_context& aContext, Options aOptions, EnginePool& aPool)
    : context_(aContext)
    , options_(std::move(aOptions))
    , pool_(aPool)
  {
  }

  /** \brief An engine of the service was suspended since it did not respond, or
   * a request found no engine. */
  auto OnSilent(const std::string& aService) -> void;

private:
  auto Watch(std::string aService) -> Task<void>;
  auto AskWhileOut(std::string aService) -> Task<void>;
  auto EnginesOf(const std::string& aService)
    -> std::vector<ServiceOutage::Engine>;
  auto Ask(std::string aService, std::string aEngine) -> Task<void>;
  auto Find(const std::string& aService, const std::string& aEngine)
    -> std::shared_ptr<EngineState>;

  asio::io_context& context_;
  Options options_;
  EnginePool& pool_;
  SuspendAwareClock clock_;
  /** By service; kept after an outage, since it also paces the calls of the
   * next one. */
  std::map<std::string, ServiceOutage> outages_;
  /** Services with an outage. */
  std::set<std::string> watched_;
};

} // namespace goldcrestcroft
