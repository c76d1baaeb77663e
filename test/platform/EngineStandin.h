#pragma once

#include "EngineCrashPlan.h"
#include "HttpServer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace standins {

/** \brief A model engine, a plain service and a stage engine in one; the
 * request target selects the behaviour. It records what it ran. A target with
 * "take_ms=N" requests a response that takes N milliseconds. */
class EngineStandin
{
public:
  enum class Trouble
  {
    None,
    /** Runs the request and closes the connection without a response. */
    Drops,
    /** Closes the connection in the middle of the response. */
    Truncates,
    /** Sends a response to another request first. */
    Stray,
    /** Sends a duplicate of the connection's previous response first. */
    Duplicates,
    /** Refuses the request and reports that it was not run. */
    Full,
    /** Runs the request and responds with status 500. */
    Fails,
    /** Responds with success, but without its signature. */
    Unsigned
  };

  /** Path of calls for the health of an engine, which executes nothing. */
  static constexpr auto kHealthPath = "/healthz";

  /** \brief A request, other than a stage call, that the engine received. */
  struct Arrival
  {
    std::string requestId_;
    std::string workspace_;
    goldcrestcroft::TimePoint at_;
    /** False if the engine refused the request without running it. */
    bool ran_ = true;
    /** When the whole response was written; TimePoint::max() if it was not. */
    goldcrestcroft::TimePoint doneAt_ = goldcrestcroft::TimePoint::max();
  };

  /** \brief A crash, and the requests with the marker that it interrupted. */
  struct End
  {
    std::vector<std::string> requestIds_;
    goldcrestcroft::TimePoint at_;
  };

  /** \brief aAdvertised is the address that the engine advertises if it differs
   * from aAddress. */
  EngineStandin(goldcrestcroft::asio::io_context& aContext,
                const std::string& aAddress, std::string aId,
                const std::string& aAdvertised = "");

  /** \brief Returns the engine's entry for the store. An empty aState keeps the
   * previous state. */
  [[nodiscard]] auto Entry(const std::string& aService,
                           const std::string& aState = "") -> std::string;
  /** \brief Begins a new incarnation with the same id and without any results
   * of the previous one. */
  auto Restart() -> void;
  /** \brief From now on, the engine crashes on each request with the marker
   * that it starts to run, in every fault mode except Fails. */
  auto CrashOnMarker(const EngineCrashPlan& aPlan) -> void;
  /** \brief Crashes immediately, and restarts as set by CrashOnMarker. */
  auto CrashNow() -> void;
  [[nodiscard]] auto Crashes() -> std::vector<End>;
  /** \brief Whether the engine is about to crash or has not restarted yet. */
  [[nodiscard]] auto IsUnavailable() const -> bool { return isUnavailable_; }
  /** \brief Sets a callback that runs on the context after each restart that
   * follows a crash. */
  auto SetOnStart(std::function<void()> aOnStart) -> void
  {
    onStart_ = std::move(aOnStart);
  }
  [[nodiscard]] auto Id() const -> const std::string& { return id_; }
  /** \brief Sets the software version, which the entry and, before the id of
   * the request, the data of each event name from now on. */
  auto SetVersion(const std::string& aVersion) -> void
  {
    const std::lock_guard lock(mutex_);
    version_ = aVersion;
  }
  /** \brief Makes another engine take over the address from now on. */
  auto Replace(const std::string& aId) -> void
  {
    const std::lock_guard lock(mutex_);
    id_ = aId;
  }
  /** \brief How often each request ran, by request id. */
  [[nodiscard]] auto Runs() -> std::map<std::string, int>;
  [[nodiscard]] auto Arrivals() -> std::vector<Arrival>;
  /** \brief Returns a header of the last request that ran. */
  [[nodiscard]] auto LastHeader(const std::string& aName) -> std::string;
  /** \brief Number of requests whose sender disconnected while they ran. */
  [[nodiscard]] auto Abandoned() const -> std::size_t
  {
    return server_.Abandoned();
  }
  /** \brief Responds to every request that succeeds with endless bytes from now
   * on. */
  auto SetEndless(std::optional<EndlessBytes> aBytes) -> void
  {
    const std::lock_guard lock(mutex_);
    endless_ = std::move(aBytes);
  }
  /** \brief Number of endless responses not yet closed by the receiver. */
  [[nodiscard]] auto EndlessOpen() const -> std::size_t
  {
    return server_.EndlessOpen();
  }
  /** \brief From now on, requests that resume a stream are answered with these
   * bytes, in which "@ID" is replaced by the request's id; the connection is
   * then closed. */
  auto SetRawResumption(const std::string& aBytes) -> void
  {
    const std::lock_guard lock(mutex_);
    resumedBytes_ = aBytes;
  }
  /** \brief From now on, every request that succeeds, including stage calls, is
   * answered with these bytes, in which "@ID" is replaced by the request's id,
   * followed by aEnd after a pause. std::nullopt restores the regular
   * responses. */
  auto SetRawResponse(std::optional<std::string> aBytes,
                      RawEnd aEnd = RawEnd::Closes,
                      std::chrono::milliseconds aPause = {}) -> void
  {
    const std::lock_guard lock(mutex_);
    rawBytes_ = std::move(aBytes);
    rawEnd_ = aEnd;
    rawPause_ = aPause;
  }
  /** \brief From now on, requests and stage calls of at least aMinBytes are
   * answered so once their head has arrived; "@ID" is replaced by the request's
   * id. std::nullopt restores the regular responses. */
  auto SetEarlyResponse(std::optional<EarlyResponse> aResponse,
                        std::size_t aMinBytes = 100'000) -> void
  {
    const std::lock_guard lock(mutex_);
    early_ = std::move(aResponse);
    earlyMinBytes_ = aMinBytes;
  }
  /** \brief Number of streams resumed with the bytes of SetRawResumption. */
  [[nodiscard]] auto Resumed() const -> std::size_t { return resumed_; }
  auto SetMaxConnections(std::size_t aMax) -> void
  {
    server_.maxConnections_ = aMax;
  }
  /** \brief Resets requests on connections that were idle for longer; never if
   * negative. */
  auto SetIdleTimeout(std::chrono::milliseconds aIdle) -> void
  {
    server_.idleTimeoutMs_ = static_cast<int>(aIdle.count());
  }
  /** \brief Number of requests that were reset without being handled because
   * their connection had exceeded the idle timeout. */
  [[nodiscard]] auto IdleResets() const -> std::size_t
  {
    return server_.IdleResets();
  }
  [[nodiscard]] auto PiecesRun() -> std::size_t;
  [[nodiscard]] auto CallsRun() -> std::size_t;
  [[nodiscard]] auto ResultsHeld() -> std::size_t;
  /** \brief Returns the id of the request that a result was produced for; empty
   * if the engine did not produce it. */
  [[nodiscard]] auto ProducedFor(const std::string& aHandle) -> std::string;
  /** \brief Number of requests of every kind that were received, run or not. */
  [[nodiscard]] auto ReceivedCount() const -> std::size_t
  {
    return receivedCount_;
  }
  /** \brief Number of health checks among these requests. */
  [[nodiscard]] auto HealthCheckCount() const -> std::size_t
  {
    return healthCheckCount_;
  }
  /** \brief When these requests were received. */
  [[nodiscard]] auto ReceivedAt() -> std::vector<goldcrestcroft::TimePoint>;

  std::atomic<Trouble> trouble_ = Trouble::None;
  /** Whether duplicates of responses carry the request id. */
  std::atomic<bool> duplicateHasId_ = true;
  std::atomic<int> delayMs_ = 0;
  /** Duration of a call that runs pieces. */
  std::atomic<int> callMs_ = 20;
  /** Pause before each event of a stream. */
  std::atomic<int> pauseMs_ = 5;
  /** Refuses requests without running them and reports that their input results
   * are lost. */
  std::atomic<bool> inputsLost_ = false;
  /** Sends the first bytes of a stream's third event along with the second,
   * before the pause. */
  std::atomic<bool> splitsEvents_ = false;
  /** Breaks off streams that begin, but none that resume. */
  std::atomic<bool> breaksNewStreams_ = false;
  /** Pause before the third event of a stream; pauseMs_ if negative. */
  std::atomic<int> stallMs_ = -1;
  /** Bytes added to the body of each response that is not a stream. */
  std::atomic<std::size_t> padding_ = 0;
  /** Successes have neither a length nor chunks; every other one is broken off
   * at a byte that its request selects, in a way that its receiver can tell. */
  std::atomic<bool> unframed_ = false;
  /** All responses advertise that the engine is draining. */
  std::atomic<bool> leaving_ = false;
  /** Rate limit, in requests per second, that all responses advertise; none if
   * negative. */
  std::atomic<double> limit_ = -1.0;
  /** Retry-After of refusals, in seconds; none if 0. */
  std::atomic<int> retryAfterS_ = 0;

private:
  auto Handle(const Request& aRequest) -> ResponsePlan;
  auto HandleHead(const Request& aHead) -> std::optional<EarlyResponse>;
  auto PlanResponse(const Request& aRequest) -> ResponsePlan;
  /** \brief How the response is sent without a framing. */
  [[nodiscard]] auto PlanUnframed(const ResponsePlan& aReaction) const
    -> UnframedBody;
  auto RunPieces(const Request& aRequest) -> ResponsePlan;
  auto Release(const Request& aRequest) -> ResponsePlan;
  /** \brief This function and the next one require mutex_ to be held. */
  [[nodiscard]] auto TriggersCrash(const Request& aRequest) const -> bool;
  auto BeginCrash(const std::string& aRequestId) -> void;
  auto CrashAndRestart(EngineCrashPlan aPlan, std::chrono::milliseconds aAfter)
    -> goldcrestcroft::Task<void>;

  goldcrestcroft::asio::io_context& context_;
  std::string advertised_;
  std::string id_;
  std::mutex mutex_;
  std::string state_ = "ready";
  std::string version_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::optional<EndlessBytes> endless_;
  std::string resumedBytes_;
  std::optional<std::string> rawBytes_;
  RawEnd rawEnd_ = RawEnd::Closes;
  std::chrono::milliseconds rawPause_{ 0 };
  std::optional<EarlyResponse> early_;
  std::size_t earlyMinBytes_ = 0;
  std::atomic<std::size_t> resumed_ = 0;
  std::map<std::string, int> runs_;
  std::vector<Arrival> arrivals_;
  goldcrestcroft::http::fields lastHeaders_;
  std::set<std::string> results_;
  std::map<std::string, std::string> producedFor_;
  EngineCrashPlan crashPlan_;
  std::vector<std::string> crashedDuring_;
  std::vector<End> crashes_;
  std::atomic<bool> isUnavailable_ = false;
  std::function<void()> onStart_;
  std::atomic<std::size_t> receivedCount_ = 0;
  std::atomic<std::size_t> healthCheckCount_ = 0;
  std::vector<goldcrestcroft::TimePoint> receivedAt_;
  std::size_t pieces_ = 0;
  std::size_t calls_ = 0;
  std::uint64_t nextResult_ = 1;
  HttpServer server_;
};

} // namespace standins
