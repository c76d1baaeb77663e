#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief Where a process listens or connects: an IP number and a port. */
struct Endpoint
{
  std::string ip_;
  std::uint16_t port_ = 0;

  auto operator<=>(const Endpoint&) const = default;
  [[nodiscard]] auto ToString() const -> std::string
  {
    return ip_ + ":" + std::to_string(port_);
  }
};

/** \brief Fails with InvalidArgument unless the text is IP:PORT. */
auto ParseEndpoint(const std::string& aText) -> Result<Endpoint>;

/** \brief How this host meets callers. */
struct CallerSettings
{
  Endpoint listen_;
  unsigned threads_ = 2;
  std::size_t maxBodyBytes_ = 1 << 20;
  /** Requests under way at once; more are refused. */
  unsigned maxInFlight_ = 4096;
  Duration idle_ = std::chrono::seconds{ 75 };
  /** How long a caller may keep the answer of GET /v1/hosts. */
  Duration keepHosts_ = std::chrono::seconds{ 5 };
};

/** \brief How this host meets other entry hosts. */
struct PeerSettings
{
  Endpoint listen_;
  std::vector<Endpoint> seeds_;
  std::string sharedKey_;
  Duration heartbeat_ = std::chrono::milliseconds{ 250 };
  Duration suspectAfter_ = std::chrono::milliseconds{ 2000 };
  Duration goneAfter_ = std::chrono::seconds{ 8 };
};

/** \brief How this host meets the platform; no addresses when embedded. */
struct PlatformSettings
{
  std::string table_;
  std::string objects_;
  std::string members_;
  Duration timeout_ = std::chrono::milliseconds{ 800 };
  Duration membersPeriod_ = std::chrono::seconds{ 1 };
  Duration headPeriod_ = std::chrono::seconds{ 1 };
};

/** \brief How this host meets backend servers. */
struct BackendSettings
{
  Duration connect_ = std::chrono::milliseconds{ 250 };
  Duration idle_ = std::chrono::seconds{ 15 };
  unsigned attempts_ = 3;
  /** Retries and hedges as a share of successes. */
  double retryShare_ = 0.04;
  /** Work that a server may hold beyond its slots. */
  double overcommit_ = 1.0;
};

/** \brief At-most-once execution. */
struct OnceSettings
{
  /** Least time between two transactions of this host. */
  Duration batch_ = std::chrono::milliseconds{ 20 };
  /** How long a caller may repeat a key. */
  std::chrono::seconds keep_{ 86'400 };
  /** Between reads of a row that another attempt holds. */
  Duration poll_ = std::chrono::milliseconds{ 100 };
};

/** \brief Everything an entry host is told at its start. \sa LoadSettings */
struct Settings
{
  HostId host_;
  ZoneId zone_;
  CallerSettings callers_;
  PeerSettings peers_;
  PlatformSettings platform_;
  BackendSettings backends_;
  OnceSettings once_;
  /** Longest planned stop. */
  Duration stop_ = std::chrono::seconds{ 30 };
  bool jsonLogs_ = true;
  std::string logLevel_ = "info";
  /** OTLP/JSON collector, or empty. */
  std::string collector_;
  /** Requests whose spans are sent, at most, each second. */
  unsigned tracesPerSecond_ = 100;
};

/** \brief Reads a settings document: JSON with comments.
 *
 * Fails with InvalidSettings, naming the key and the remedy. */
auto ParseSettings(const std::string& aText) -> Result<Settings>;

/** \brief The same for a file, whose name is added to the message. */
auto LoadSettings(const std::string& aFile) -> Result<Settings>;

} // namespace goldcrestcroft
