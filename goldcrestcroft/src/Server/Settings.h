#pragma once

#include "../../Core.h"

#include <string>
#include <vector>

namespace goldcrestcroft {

/** \brief IPv4 address and port where a process listens or connects. */
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

/** \brief How this host serves callers. */
struct CallerSettings
{
  Endpoint listen_;
  unsigned threads_ = 2;
  std::size_t maxBodyBytes_ = 1 << 20;
  /** Maximum number of requests in flight; further ones are rejected. */
  unsigned maxInFlight_ = 4096;
  Duration idle_ = std::chrono::seconds{ 75 };
  /** How long a caller may cache the response of GET /v1/hosts. */
  Duration hostListLifetime_ = std::chrono::seconds{ 5 };
};

/** \brief How this host communicates with other entry hosts. */
struct PeerSettings
{
  Endpoint listen_;
  std::vector<Endpoint> seeds_;
  std::string sharedKey_;
  Duration heartbeat_ = std::chrono::milliseconds{ 250 };
  Duration suspectAfter_ = std::chrono::milliseconds{ 2000 };
  Duration goneAfter_ = std::chrono::seconds{ 8 };
};

/** \brief How this host reaches the platform. The addresses are empty for an
 * embedded host. */
struct PlatformSettings
{
  std::string table_;
  std::string objects_;
  std::string members_;
  Duration timeout_ = std::chrono::milliseconds{ 800 };
  Duration membersPeriod_ = std::chrono::seconds{ 1 };
  Duration headPeriod_ = std::chrono::seconds{ 1 };
};

/** \brief How this host calls backend servers. */
struct BackendSettings
{
  Duration connect_ = std::chrono::milliseconds{ 250 };
  Duration idle_ = std::chrono::seconds{ 15 };
  unsigned attempts_ = 3;
  /** Budget of retries and hedges, as a share of successes. */
  double retryShare_ = 0.04;
  /** Work that a backend server may hold beyond its slots. */
  double overcommit_ = 1.0;
};

/** \brief At-most-once execution. */
struct OnceSettings
{
  /** Minimum time between two table transactions of this host. */
  Duration batchPeriod_ = std::chrono::milliseconds{ 20 };
  /** How long a key is retained, so that a caller may repeat it. */
  std::chrono::seconds keyRetention_{ 86'400 };
  /** Time between two reads of a row that another attempt holds. */
  Duration pollPeriod_ = std::chrono::milliseconds{ 100 };
};

/** \brief Settings that an entry host reads at its start. \sa LoadSettings */
struct Settings
{
  HostId host_;
  ZoneId zone_;
  CallerSettings callers_;
  PeerSettings peers_;
  PlatformSettings platform_;
  BackendSettings backends_;
  OnceSettings once_;
  /** Maximum duration of a planned stop. */
  Duration maxStopDuration_ = std::chrono::seconds{ 30 };
  bool jsonLogs_ = true;
  std::string logLevel_ = "info";
  /** Address of the OTLP/JSON collector, or empty. */
  std::string collector_;
  /** Maximum number of requests per second whose spans are exported. */
  unsigned tracesPerSecond_ = 100;
};

/** \brief Reads a settings document: JSON with comments.
 *
 * Fails with InvalidSettings, naming the key and the remedy. */
auto ParseSettings(const std::string& aText) -> Result<Settings>;

/** \brief Reads a settings file. Fails like ParseSettings, with the file name
 * added to the message, and with NotFound if the file cannot be read. */
auto LoadSettings(const std::string& aFile) -> Result<Settings>;

} // namespace goldcrestcroft
