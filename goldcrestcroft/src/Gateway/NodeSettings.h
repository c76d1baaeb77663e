#pragma once

#include "../../Resources.h"

#include <algorithm>
#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Settings of an entry host, as read from its settings file. */
struct NodeSettings
{
  std::string host_;
  std::string zone_;
  std::string ip_;
  /** Listening addresses as "IP:PORT"; empty disables the service. */
  std::string callers_;
  std::string readiness_;
  std::string directory_;
  std::string metrics_;
  /** First of two consecutive ports for traffic between hosts: the first
   * carries datagrams and state, the second pieces of stages. */
  std::uint16_t peerPort_ = 0;
  /** Addresses of some peer hosts, possibly stale. */
  std::vector<std::string> seeds_;
  std::string store_;
  std::string logLevel_ = "info";
  /** How long a stopping host may take to finish its requests. */
  Duration grace_ = std::chrono::seconds{ 8 };
  double retryRatio_ = 0.2;
  double retrySlack_ = 50.0;
  Duration retryWindow_ = std::chrono::seconds{ 10 };
  /** CPU cores, possibly a fraction, and link rate in Mbit/s that the host has;
   * the most powerful hosts are batch coordinators. */
  double cores_ = 1.0;
  double linkMbps_ = 1000.0;
  /** Maximum backoff that an engine can request. */
  Duration maxEngineBackoff_ = std::chrono::seconds{ 60 };
  /** Maximum number of concurrent caller connections; beyond it, an idle one is
   * evicted for a new one. Hosts have at least 4,100 file descriptors. */
  std::size_t maxCallers_ = 3000;
  /** Memory that the host has, in MB. Bounds the bytes held for callers and
   * engines. */
  std::size_t memoryMb_ = kSmallestMachineMb;
  /** File descriptors that the host has; 0 if unknown. */
  std::size_t fileDescriptors_ = 0;
  /** Maximum number of header fields of a request. A request below
   * max_header_bytes has fewer, unless they are shorter than 16 bytes on
   * average. */
  std::size_t maxHeaderFields_ = 1000;
  /** Maximum time for receiving a request body; far longer than a body of
   * max_body_bytes takes at 64 kbit/s. */
  Duration maxBodyTime_ = std::chrono::seconds{ 600 };
  /** Bytes a second that an incomplete body must receive to be evicted after
   * slower ones if the memory for requests is used up; no minimum otherwise. */
  std::size_t minBodyRate_ = 16'384;
  /** Maximum time for writing a complete response or a response head. */
  Duration writeTimeout_ = std::chrono::seconds{ 20 };
  /** Maximum number of connections at each of readiness, directory and metrics;
   * beyond it, the oldest is closed for a new one. */
  std::size_t maxListenerConnections_ = 128;
  /** Maximum time that callers cache a directory response. */
  Duration directoryKeep_ = std::chrono::seconds{ 2 };

  /** Target time within which a change of the configuration or of an engine's
   * state takes effect at every host. */
  Duration propagationTarget_ = std::chrono::seconds{ 3 };

  auto operator<=>(const NodeSettings&) const = default;

  [[nodiscard]] auto PeerAddress() const -> std::string
  {
    return ip_ + ":" + std::to_string(peerPort_);
  }
  /** \brief Capacity of the host for work besides its callers, relative to a
   * host with 0.1 cores and 10 Mbit/s. */
  [[nodiscard]] auto Power() const -> double
  {
    return std::min(cores_ / 0.1, linkMbps_ / 10.0);
  }
  /** \brief Maximum number of caller connections that leaves file descriptors
   * for engines, other hosts and the remaining listeners. */
  [[nodiscard]] auto CallerLimit() const -> std::size_t
  {
    constexpr std::size_t kSharePercent = 70;
    const auto available = fileDescriptors_ * kSharePercent / 100;
    return fileDescriptors_ == 0
             ? maxCallers_
             : std::clamp<std::size_t>(available, 1, maxCallers_);
  }
  /** \brief Bounds of the bytes held for callers and engines. */
  [[nodiscard]] auto Memory() const -> MemoryAccount::Options
  {
    return { .budget_ = MemoryBudget::ForMachine(memoryMb_),
             .minRequestRate_ = minBodyRate_ };
  }
  [[nodiscard]] auto StageAddress() const -> std::string
  {
    return ip_ + ":" + std::to_string(peerPort_ + 1);
  }
};

/** \brief Changed settings, as far as a running host can apply them. */
struct SettingsReload
{
  NodeSettings settings_;
  /** Names of the changed settings that take effect only after a restart,
   * separated by spaces. */
  std::string needsRestart_;

  auto operator<=>(const SettingsReload&) const = default;
};

/** \brief Combines both: settings that need a restart, such as identity and
 * addresses, keep the values of aRunning; all others, such as seeds, log level,
 * grace period and retry budget, come from aChanged. */
auto ApplyReload(const NodeSettings& aRunning, const NodeSettings& aChanged)
  -> SettingsReload;

/** \brief Settings as read from a file, and what was adjusted in them. */
struct LoadedSettings
{
  NodeSettings settings_;
  /** One for each value that was replaced or ignored; each names its key. */
  std::vector<std::string> warnings_;

  auto operator<=>(const LoadedSettings&) const = default;
};

/** \brief Parses JSON with comments. Fails with InvalidSettings, naming the key
 * and the remedy, if the text is not an object or the identity or an address of
 * the host is missing or invalid; other values are adjusted. */
auto ParseNodeSettings(const std::string& aText) -> Result<LoadedSettings>;

/** \brief Reads and parses the file; an error also names the file. */
auto LoadNodeSettings(const std::string& aFile) -> Result<LoadedSettings>;

/** \brief Logs each of the warnings. */
auto LogWarnings(const LoadedSettings& aLoaded) -> void;

} // namespace goldcrestcroft
