#pragma once

#include "EngineEnding.h"
#include "HttpServer.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace standins {

/** \brief A model engine, a plain service and a stage engine in one: what it
 * does follows from the call. Counts what it ran. A target with "take_ms=N"
 * asks for an answer that takes so long. */
class EngineStandin
{
public:
  enum class Trouble
  {
    None,
    /** Runs the request and closes without an answer. */
    Drops,
    /** Closes in the middle of the answer. */
    Cuts,
    /** Sends an answer to another request first. */
    Stray,
    /** Sends a second copy of the answer before first. */
    Repeats,
    /** Refuses, and says that it did not run it. */
    Full,
    /** Answers with a failure of its own. */
    Fails,
    /** Answers success without its signature. */
    Unsigned
  };

  /** \brief A request or a call that reached the engine. */
  struct Arrival
  {
    std::string requestId_;
    std::string workspace_;
    goldcrestcroft::TimePoint at_;
    /** False where the engine refused it, unrun. */
    bool ran_ = true;
    /** When its whole answer was written; never if it was broken off. */
    goldcrestcroft::TimePoint doneAt_ = goldcrestcroft::TimePoint::max();
  };

  /** \brief It ended, and under which requests with the marker. */
  struct End
  {
    std::vector<std::string> requestIds_;
    goldcrestcroft::TimePoint at_;
  };

  /** \brief aPublished is the address that others are told, if another. */
  EngineStandin(goldcrestcroft::asio::io_context& aContext,
                const std::string& aAddress, std::string aId,
                const std::string& aPublished = "");

  /** \brief Its entry in the store, with the state that it had last if none
   * is given. */
  [[nodiscard]] auto Entry(const std::string& aService,
                           const std::string& aState = "") -> std::string;
  /** \brief Starts again under its id: it holds nothing of before. */
  auto Restart() -> void;
  /** \brief From now on it ends under each request with the marker that it
   * begins to run, whatever its trouble; it fails before that, if it fails. */
  auto EndUnder(const EngineEnding& aEnding) -> void;
  /** \brief Ends at once, and starts again, as set by EndUnder. */
  auto EndNow() -> void;
  [[nodiscard]] auto Ends() -> std::vector<End>;
  /** \brief Whether it is about to end, or has not started again. */
  [[nodiscard]] auto IsAway() const -> bool { return isAway_; }
  /** \brief Called on its context after each start that follows an end. */
  auto SetOnStart(std::function<void()> aOnStart) -> void
  {
    onStart_ = std::move(aOnStart);
  }
  [[nodiscard]] auto Id() const -> const std::string& { return id_; }
  /** \brief Another engine has its address from now on. */
  auto Replace(const std::string& aId) -> void
  {
    const std::lock_guard lock(mutex_);
    id_ = aId;
  }
  /** \brief How often each request ran, by its id. */
  [[nodiscard]] auto Runs() -> std::map<std::string, int>;
  [[nodiscard]] auto Arrivals() -> std::vector<Arrival>;
  /** \brief A header of the last request that ran. */
  [[nodiscard]] auto LastHeader(const std::string& aName) -> std::string;
  /** \brief Requests whose sender left while they ran. */
  [[nodiscard]] auto Abandoned() const -> std::size_t
  {
    return server_.Abandoned();
  }
  /** \brief Answers all that it runs with endless bytes from now on. */
  auto SetEndless(std::optional<EndlessBytes> aBytes) -> void
  {
    const std::lock_guard lock(mutex_);
    endless_ = std::move(aBytes);
  }
  /** \brief Endless answers whose receivers have not closed yet. */
  [[nodiscard]] auto EndlessOpen() const -> std::size_t
  {
    return server_.EndlessOpen();
  }
  /** \brief Streams that go on after an event are answered with these bytes
   * from now on, "@ID" standing for the request's id, and closed. */
  auto SetResumed(const std::string& aBytes) -> void
  {
    const std::lock_guard lock(mutex_);
    resumedBytes_ = aBytes;
  }
  /** \brief All that it runs, calls of stages too, is answered with these
   * bytes from now on, "@ID" standing for the request's id, and closed or
   * reset. None for its own answers again. */
  auto SetCut(std::optional<std::string> aBytes, bool aResets = false) -> void
  {
    const std::lock_guard lock(mutex_);
    cutBytes_ = std::move(aBytes);
    cutResets_ = aResets;
  }
  /** \brief How often streams went on, as SetResumed says. */
  [[nodiscard]] auto Resumed() const -> std::size_t { return resumed_; }
  auto SetMostConnections(std::size_t aMost) -> void
  {
    server_.mostConnections_ = aMost;
  }
  /** \brief Forgets connections that rest longer; never if negative. */
  auto SetForgetsAfter(std::chrono::milliseconds aRest) -> void
  {
    server_.forgetsAfterMs_ = static_cast<int>(aRest.count());
  }
  /** \brief Requests that it reset unread, since it had forgotten. */
  [[nodiscard]] auto Forgotten() const -> std::size_t
  {
    return server_.Forgotten();
  }
  [[nodiscard]] auto PiecesRun() -> std::size_t;
  [[nodiscard]] auto CallsRun() -> std::size_t;
  [[nodiscard]] auto ResultsHeld() -> std::size_t;
  /** \brief The request that it made the result for; empty if it did not. */
  [[nodiscard]] auto MadeFor(const std::string& aHandle) -> std::string;
  /** \brief Calls and requests of every kind that came, run or not. */
  [[nodiscard]] auto Reached() const -> std::size_t { return reached_; }
  /** \brief When they came. */
  [[nodiscard]] auto ReachedAt() -> std::vector<goldcrestcroft::TimePoint>;

  std::atomic<Trouble> trouble_ = Trouble::None;
  /** Whether second copies of answers say whose they are. */
  std::atomic<bool> repeatsId_ = true;
  std::atomic<int> delayMs_ = 0;
  /** What a call for pieces takes. */
  std::atomic<int> callMs_ = 20;
  /** Before each event of a stream. */
  std::atomic<int> pauseMs_ = 5;
  /** Says that the results which a request needs are gone, unrun. */
  std::atomic<bool> inputsGone_ = false;
  /** Sends the beginning of a stream's third event before the pause. */
  std::atomic<bool> splitsEvents_ = false;
  /** Before the third event of a stream; as before each if negative. */
  std::atomic<int> stallMs_ = -1;
  /** Bytes added to the body of each answer that is no stream. */
  std::atomic<std::size_t> padding_ = 0;
  /** All its answers say that it leaves. */
  std::atomic<bool> leaving_ = false;
  /** Requests a second that all its answers name as its limit; none if
   * negative. */
  std::atomic<double> limit_ = -1.0;
  /** Seconds that it asks for in a refusal; none at 0. */
  std::atomic<int> retryAfterS_ = 0;

private:
  auto Handle(const Request& aRequest) -> Reaction;
  auto React(const Request& aRequest) -> Reaction;
  auto RunPieces(const Request& aRequest) -> Reaction;
  auto Release(const Request& aRequest) -> Reaction;
  /** \brief These two hold the mutex. */
  [[nodiscard]] auto IsEndedBy(const Request& aRequest) const -> bool;
  auto BeginEnd(const std::string& aRequestId) -> void;
  auto EndAndStart(EngineEnding aEnding, std::chrono::milliseconds aAfter)
    -> goldcrestcroft::Task<void>;

  goldcrestcroft::asio::io_context& context_;
  std::string published_;
  std::string id_;
  std::mutex mutex_;
  std::string state_ = "ready";
  std::uint64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  std::optional<EndlessBytes> endless_;
  std::string resumedBytes_;
  std::optional<std::string> cutBytes_;
  bool cutResets_ = false;
  std::atomic<std::size_t> resumed_ = 0;
  std::map<std::string, int> runs_;
  std::vector<Arrival> arrivals_;
  goldcrestcroft::http::fields lastHeaders_;
  std::set<std::string> results_;
  std::map<std::string, std::string> madeFor_;
  EngineEnding ending_;
  std::vector<std::string> endingUnder_;
  std::vector<End> ends_;
  std::atomic<bool> isAway_ = false;
  std::function<void()> onStart_;
  std::atomic<std::size_t> reached_ = 0;
  std::vector<goldcrestcroft::TimePoint> reachedAt_;
  std::size_t pieces_ = 0;
  std::size_t calls_ = 0;
  std::uint64_t nextResult_ = 1;
  HttpServer server_;
};

} // namespace standins
