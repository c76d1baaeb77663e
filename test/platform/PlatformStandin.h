#pragma once

#include "EngineStandin.h"
#include "StoreStandin.h"
#include "TestAddress.h"

#include <memory>
#include <optional>
#include <thread>

namespace standins {

/** \brief A small platform on loopback: a store, engines for a plain service, a
 * model and two stage services, and a configuration that uses them. */
class PlatformStandin
{
public:
  struct Options
  {
    std::string ip_ = TestIp();
    std::uint16_t firstPort_ = 7300;
    std::size_t enginesPerService_ = 2;
    /** Added to the ports that engines advertise, for proxies in front of
     * them. */
    std::uint16_t advertisedPortOffset_ = 0;
    /** Number of additional endpoints of the store, on ports from 7200. */
    std::size_t extraStoreEndpoints_ = 0;
    /** Limits of callers' requests in the configuration. */
    std::size_t maxHeaderBytes_ = 4096;
    std::size_t maxBodyBytes_ = 100'000;
  };

  /** Idle timeout of callers' connections. */
  static constexpr auto kIdleTime = std::chrono::milliseconds{ 15'000 };

  explicit PlatformStandin(Options aOptions);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  auto operator=(const PlatformStandin&) -> PlatformStandin& = delete;

  auto Store() -> StoreStandin& { return *store_; }
  /** \brief Engines of service "desk", "model", "cutter" or "ranker". */
  auto Engines(const std::string& aService)
    -> std::vector<std::unique_ptr<EngineStandin>>&
  {
    return engines_[aService];
  }
  [[nodiscard]] auto StoreAddress() const -> std::string;
  [[nodiscard]] auto EndpointAddress(std::size_t aIndex) const -> std::string;
  /** \brief Writes the configuration. A non-empty aExtraPrefix adds a route to
   * the plain service, aKeys are the API keys of workspace "w1", and aIdleTime
   * is the idle timeout of callers' connections. */
  auto PutConfig(unsigned aVersion, const std::string& aExtraPrefix = "",
                 const std::vector<std::string>& aKeys = { "key1" },
                 std::chrono::milliseconds aIdleTime = kIdleTime) -> void;
  auto SetFaultMode(const std::string& aService,
                    EngineStandin::Trouble aTrouble) -> void;

private:
  Options options_;
  goldcrestcroft::asio::io_context context_;
  std::unique_ptr<StoreStandin> store_;
  std::map<std::string, std::vector<std::unique_ptr<EngineStandin>>> engines_;
  std::thread thread_;
};

} // namespace standins
