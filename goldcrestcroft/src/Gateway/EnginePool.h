#pragma once

#include "../../Engines.h"
#include "../../Resources.h"
#include "EngineConnection.h"
#include "EngineLoadReport.h"
#include "HeaderNames.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace goldcrestcroft {

/** \brief This host's state of one engine, with its idle connections. */
struct EngineState
{
  EngineEntry entry_;
  EngineHealth health_;
  EngineAvailability availability_;
  /** Requests of this host in flight at the engine. */
  std::size_t ownRequests_ = 0;
  std::size_t openConnections_ = 0;
  /** When the address refused a connection: the process of this incarnation has
   * ended, and another one may have its address before its entry is known. */
  std::optional<TimePoint> refusedAt_;
  /** Rate limit in requests a second from all hosts together, as the engine
   * last advertised it to any of them. */
  std::optional<double> limit_;
  EngineLoadReport report_;
  TimePoint reportedAt_;

  struct IdleConnection
  {
    std::shared_ptr<EngineConnection> connection_;
    TimePoint until_;
    TimePoint since_;
  };
  std::deque<IdleConnection> kept_;

  /** \brief Weight of the last load report: 1 for a new one, 0 once it is
   * outdated. */
  [[nodiscard]] auto ReportFreshness(TimePoint aNow) const -> double;
  /** \brief Running and queued requests by the engine's last load report,
   * weighted down linearly with the report's age. */
  [[nodiscard]] auto ReportedRequests(TimePoint aNow) const -> double;
  /** \brief How long work takes at the engine by its last load report, relative
   * to its usual time; approaches 1 with the report's age. */
  [[nodiscard]] auto ReportedSlowdown(TimePoint aNow) const -> double;
};

struct EngineResponseHead;

/** \brief An engine's connection in use; connection_ is null if none could be
 * opened. */
struct EngineLease
{
  std::shared_ptr<EngineState> engine_;
  std::shared_ptr<EngineConnection> connection_;
  /** How long the connection was idle before; none for a new one. */
  std::optional<Duration> idleFor_;
  /** There is no connection, since no permit was granted under the engine's
   * rate limit. */
  bool denied_ = false;
  /** When the connection was leased; nothing of the request was sent before. */
  TimePoint takenAt_{};
};

/** \brief Options for opening a connection for one request. */
struct OpenOptions
{
  /** A new connection is used only after the time in which an engine at its
   * connection limit would have reset it, so that the request is not sent in
   * vain. */
  bool verifyNew_ = false;
  /** A lost request could not be retried, so connections that were idle for
   * longer than is safe are not used. */
  bool once_ = false;
  /** Maximum wait for a permit of an engine with a rate limit. */
  Duration maxWait_{};
};

/** \brief Pool of connections to engines. Idle connections are reused. */
class EnginePool
{
public:
  struct Options
  {
    Duration connectTimeout_ = std::chrono::milliseconds{ 400 };
    /** An engine that has reached its connection limit resets a new
     * connection within this: a round trip between zones and the time of a
     * handshake. */
    Duration resetWindow_ = std::chrono::milliseconds{ 5 };
    /** Used if an engine does not state how long it keeps a connection. */
    Duration defaultKeepAlive_ = std::chrono::seconds{ 4 };
    /** An idle connection is closed this long before the engine would close
     * it, so that no request races with the close. */
    Duration keepAliveMargin_ = std::chrono::milliseconds{ 1000 };
    std::size_t maxIdle_ = 8;
    IdleReuseLimit::Options idleReuse_;
    /** Maximum backoff that an engine may request. */
    Duration maxBackoff_ = std::chrono::seconds{ 60 };
    /** Draining incarnations of engines are remembered for this long, whatever
     * their entries say; far longer than an engine takes to drain. */
    Duration drainingRetention_ = std::chrono::minutes{ 10 };
    HeaderNames headers_;
    /** Called once for each incarnation of an engine that reports draining. */
    std::function<void(const EngineEntry&)> onLeaving_ =
      [](const EngineEntry&) {};
    /** Called each time an engine advertises a rate limit or ceases to, at
     * most once a second while the limit is unchanged. */
    std::function<void(const EngineLimit&)> onLimit_ = [](const EngineLimit&) {
    };
    /** Acquires a permit for one request to an engine with a rate limit. */
    std::function<Task<Permit>(RateLimits aLimits, Duration aMaxWait)> permit_ =
      [](RateLimits, Duration) -> Task<Permit> {
      co_return Permit{ .granted_ = true };
    };
    /** A permit expires if opening the connection takes longer than this, so
     * that a request sent later than its permit was meant for does not exceed
     * the engine's rate limit. */
    Duration permitValidity_ = std::chrono::milliseconds{ 250 };
    /** Called each time an engine is suspended since it did not respond. */
    std::function<void(const EngineEntry&)> onSilent_ = [](const EngineEntry&) {
    };
    /** Increments the counter of this name. */
    std::function<void(const std::string&)> count_ = [](const std::string&) {};
  };

  EnginePool(asio::io_context& aContext, Options aOptions)
    : context_(aContext)
    , options_(std::move(aOptions))
  {
  }

  /** \brief Replaces the engines in use; closes the idle connections of engines
   * that are removed. */
  auto SetEngines(std::shared_ptr<const EngineList> aEngines) -> void;
  [[nodiscard]] auto Engines() const -> const EngineList& { return *engines_; }
  /** \brief Sets the requests per second, by service, that an engine tolerates
   * while it warms up. */
  auto SetWarmUpRates(std::map<std::string, double> aRates) -> void
  {
    warmUpRates_ = std::move(aRates);
  }
  /** \brief State of an engine of the list; created on first use. */
  auto StateOf(const EngineEntry& aEntry) -> std::shared_ptr<EngineState>;

  /** \brief Leases an idle connection or a new one for one request; none if no
   * connection can be opened or the engine accepts no more requests. */
  auto Open(std::shared_ptr<EngineState> aEngine, OpenOptions aOptions = {})
    -> Task<EngineLease>;
  /** \brief Returns the connection to the pool for aKeepFor; zero for the
   * default. Closes it if it cannot be reused. */
  auto Keep(const EngineLease& aLease, Duration aKeepFor) -> void;
  /** \brief False only if the engine's address refuses connections. */
  auto IsReachable(std::shared_ptr<EngineState> aEngine) -> Task<bool>;
  /** \brief Like IsReachable, but tests a new connection in any case: when a
   * process exits, its idle connections may end later than others. */
  auto IsListening(std::shared_ptr<EngineState> aEngine) -> Task<bool>;
  /** \brief Records that the exchange on the connection ended without a
   * complete response, and not because this host ended it. If the connection
   * had been idle, the engine may have forgotten it in the meantime. */
  auto NoteBroken(const EngineLease& aLease) -> void;
  /** \brief Closes the connection. */
  auto Drop(const EngineLease& aLease) -> void;
  /** \brief Applies the availability that the engine advertises in a response:
   * draining, rate limit and backoff. */
  auto UpdateAvailability(const EngineLease& aLease,
                          const EngineResponseHead& aHead) -> void;
  /** \brief Bytes held for requests and for buffered response bodies. */
  auto Memory() -> MemoryAccount& { return memory_; }
  auto Count(const std::string& aCounter) const -> void
  {
    options_.count_(aCounter);
  }
  /** \brief Counts a response that exceeded the limit of this name. */
  auto CountCut(const std::string& aBound) const -> void
  {
    options_.count_("engine_answers_cut_" + aBound);
  }
  /** \brief Counts bytes that form no valid response for this reason. */
  auto CountInvalid(const std::string& aDefect) const -> void
  {
    options_.count_("engine_responses_invalid_" + aDefect);
  }
  /** \brief Records in the health of the engine that an attempt that began at
   * aBegan failed. */
  auto OnFailure(EngineState& aEngine, EngineFailure aFailure, TimePoint aBegan)
    -> void;
  /** \brief Whether the engine responds to a request for its health within
   * aTimeout, on a new connection. If the path is empty, the connection alone
   * is tested, since any other request could be executed. */
  auto IsResponding(std::shared_ptr<EngineState> aEngine,
                    std::string aHealthPath, Duration aTimeout) -> Task<bool>;
  /** \brief Stores the load that an engine reports. */
  auto OnLoad(EngineState& aEngine, const EngineLoadReport& aReport) -> void;
  /** \brief Whether engines of the service state how fast they are now: they
   * share their machines, so that equal requests are unequal work. */
  [[nodiscard]] auto StatesSlowdown(const std::string& aService) const -> bool
  {
    return statingSlowdown_.contains(aService);
  }
  /** \brief Applies an engine's rate limit that another host reports. */
  auto OnLimit(const EngineLimit& aLimit) -> void;
  /** \brief Marks this incarnation of an engine as draining, as it advertised
   * to this host or to another one. */
  auto OnLeaving(const std::string& aId, std::uint64_t aStartedAt) -> void;

private:
  using IdleConnection = EngineState::IdleConnection;

  auto IsAccepted(EngineConnection& aConnection) -> Task<bool>;
  auto CloseIdleConnections(EngineState& aEngine) -> void;
  auto Connect(std::shared_ptr<EngineState> aEngine,
               const OpenOptions& aOptions) -> Task<EngineLease>;
  auto UpdateLimit(const EngineLease& aLease, const EngineResponseHead& aHead)
    -> void;
  /** \brief The lowest of the rate limits in the response; sets aReadable to
   * false if one of them is not a number. */
  auto ParseLimits(const EngineEntry& aEntry, const EngineResponseHead& aHead,
                   bool& aReadable) const -> std::optional<double>;
  /** \brief Applies a rate limit that has changed. */
  auto ApplyLimit(const EngineLimit& aLimit, const std::string& aEvent) -> void;
  /** \brief The rate limits of the engine now; none if it has none. */
  [[nodiscard]] auto RateLimitsOf(const EngineState& aEngine) const
    -> std::optional<RateLimits>;
  /** \brief Waits for a permit for one more request; false if it is denied
   * and the rate limit still applies. */
  auto AwaitPermit(std::shared_ptr<EngineState> aEngine, Duration aMaxWait)
    -> Task<bool>;
  /** \brief The most recently used idle connection that may be reused. Closes
   * those that may not. */
  auto TakeIdle(EngineState& aEngine, bool aNoRetry)
    -> std::optional<IdleConnection>;

  asio::io_context& context_;
  Options options_;
  MemoryAccount memory_;
  SuspendAwareClock clock_;
  std::shared_ptr<const EngineList> engines_ =
    std::make_shared<const EngineList>();
  std::map<std::string, std::shared_ptr<EngineState>> states_;
  /** Draining engines by id and incarnation, with the time at which this host
   * learned that they drain. */
  std::map<EngineIncarnation, TimePoint> leaving_;
  LimitTable limits_;
  std::map<std::string, double> warmUpRates_;
  /** Services whose engines state their slowdown. */
  std::set<std::string> statingSlowdown_;
  /** By service; only for services that lost a request on an idle connection
   * recently. */
  std::map<std::string, IdleReuseLimit> idleReuseLimits_;
};

} // namespace goldcrestcroft
