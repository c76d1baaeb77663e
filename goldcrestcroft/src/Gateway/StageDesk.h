#pragma once

#include "../../Staging.h"
#include "AnswerCopies.h"
#include "EngineExchange.h"

#include <functional>
#include <set>

namespace goldcrestcroft {

/** \brief Collects pieces of all hosts for the stage services, and runs the
 * shared calls.
 *
 * Each engine has one call at a time from here and gets the next as soon as it
 * ends, so calls are as full as the load makes them. Traffic thread only. */
class StageDesk
{
public:
  using Tell = std::function<void(std::vector<PieceResult>)>;
  struct Options
  {
    StageQueue::Options queue_;
    /** A call may take this many times what its profile says before its pieces
     * go to another engine. */
    double callPatience_ = 3.0;
    Duration callSlack_ = std::chrono::milliseconds{ 400 };
    /** Pause of an engine that said it has no memory for results. */
    Duration roomPause_ = std::chrono::milliseconds{ 120 };
    /** Pause of an engine that had no place for a call, doubled each time in a
     * row up to the longest: other hosts collect for the service as well, for
     * as long as lists of hosts differ. */
    Duration fullPause_ = std::chrono::milliseconds{ 50 };
    Duration longestFullPause_ = std::chrono::milliseconds{ 800 };
    std::size_t mostTries_ = 3;
    /** Part of an engine's memory for results that is planned with. */
    double roomShare_ = 0.95;
    /** After this long an engine that was free has fetched a call's inputs. */
    Duration fetchTime_ = std::chrono::milliseconds{ 60 };
    /** When to come back after an order was given up. */
    Duration retryAfter_ = std::chrono::milliseconds{ 1000 };
    /** How often waiting pieces are looked at again. */
    Duration lookAgain_ = std::chrono::milliseconds{ 20 };
    /** Releases of one engine are sent together after this. */
    Duration releaseDelay_ = std::chrono::milliseconds{ 10 };
  };

  StageDesk(asio::io_context& aContext, Options aOptions, EnginePool& aPool,
            const PlatformCodec& aCodec);

  auto SetRouting(std::shared_ptr<const RoutingTable> aRouting) -> void;
  /** \brief Engines have changed. */
  auto OnEngines() -> void;

  /** \brief Queues an order; its id is set here and returned. aTell is called
   * with results as they come, until each piece has one. */
  auto Place(StageOrder aOrder, Tell aTell) -> std::uint64_t;
  /** \brief Counts pieces to come as work ahead; returns a number for Cancel.
   */
  auto Plan(const std::string& aService, StagePlan aPlan) -> std::uint64_t;
  auto Cancel(const std::string& aService, std::uint64_t aOrder) -> void;
  auto Release(const std::string& aService,
               const std::vector<std::string>& aHandles) -> void;
  /** \brief Gives waiting orders of all services back, for a successor. */
  auto Leave() -> void;
  /** \brief Gives waiting orders of the service back. */
  auto HandBack(const std::string& aService) -> void;
  /** \brief Another host may be calling the service's engines as well. */
  auto OnOtherCallers(const std::string& aService) -> void;

  /** \brief How long fresh orders would wait, for each service here. */
  [[nodiscard]] auto Backlogs() -> std::vector<StageBacklog>;

private:
  struct Engine
  {
    std::shared_ptr<EngineState> state_;
    ResultRoom room_;
    SoleUse sole_;
    AnswerCopies copies_;
    bool busy_ = false;
    TimePoint pausedUntil_;
    /** Calls in a row that it had no place for. */
    std::uint32_t timesFull_ = 0;
    std::vector<std::string> toRelease_;
    bool releasing_ = false;
    Duration lastCall_{};
  };
  struct Service
  {
    std::string name_;
    StageProfile profile_;
    StageQueue queue_;
    std::map<std::string, std::shared_ptr<Engine>> engines_;
    /** When orders of each rank are due after they come, lately. */
    std::map<int, Duration> dueIn_;
    ServiceRate rate_;
  };
  struct Listener
  {
    Tell tell_;
    std::map<std::uint32_t, std::size_t> tries_;
  };
  struct Call
  {
    std::vector<PieceTicket> tickets_;
    std::vector<StageCallPiece> pieces_;
    std::vector<double> bytes_;
  };

  auto Find(const std::string& aService) -> Service*;
  auto HandBack(Service& aService) -> void;
  /** \brief Whether the engine may get a call now. */
  [[nodiscard]] auto IsOpenTo(const Engine& aEngine) const -> bool;
  auto RatePlan(const Service& aService) const -> ServiceRate::Plan;
  auto Kick(Service& aService) -> void;
  auto LookAgain() -> Task<void>;
  auto LogBacklog(const Service& aService) -> void;
  auto MakeCall(Service& aService, const std::vector<PieceTicket>& aTickets)
    -> Call;
  auto RunCall(std::string aService, std::shared_ptr<Engine> aEngine,
               Call aCall) -> Task<void>;
  auto Exchange(const StageProfile& aProfile, Engine& aEngine,
                const Call& aCall) -> Task<std::vector<PieceResult>>;
  /** \brief Pauses an engine that had no place for a call. */
  auto OnFull(Engine& aEngine) -> void;
  auto Settle(Service& aService, Engine& aEngine, const Call& aCall,
              const std::vector<PieceResult>& aResults) -> void;
  /** \brief Lives until the engine has answered a call. */
  struct AtWork
  {};
  auto TellBegun(std::weak_ptr<const AtWork> aCall,
                 std::vector<PieceTicket> aTickets) -> Task<void>;
  auto SendReleases(std::shared_ptr<Engine> aEngine) -> Task<void>;
  auto Report(std::uint64_t aOrder, std::vector<PieceResult> aResults) -> void;
  /** \brief What came next on a connection. */
  struct Answer
  {
    /** 0 without a whole answer. */
    int status_ = 0;
    std::string body_;
    bool reusable_ = false;
    /** How long the engine keeps the connection; zero if it does not say. */
    Duration keepFor_{};
  };
  struct CallAnswer
  {
    int status_ = 0;
    /** None if it could not be read. */
    std::vector<PieceResult> pieces_;
  };
  auto ReadAnswer(EngineLease aLease) -> Task<Answer>;
  /** \brief The answer to a call, past copies of earlier ones; keeps or drops
   * the connection. */
  auto ReadCallAnswer(EngineLease aLease, Engine& aEngine, std::size_t aPieces)
    -> Task<CallAnswer>;
  [[nodiscard]] auto Decode(const Answer& aAnswer, std::size_t aPieces) const
    -> std::vector<PieceResult>;
  auto PutBack(const EngineLease& aLease, const Answer& aAnswer) -> void;
  auto WriteCall(const EngineLease& aLease, const EngineCall& aCall,
                 Duration aTimeout) -> Task<bool>;

  asio::io_context& context_;
  Options options_;
  EnginePool& pool_;
  const PlatformCodec& codec_;
  SuspendAwareClock clock_;
  std::shared_ptr<const RoutingTable> routing_;
  std::map<std::string, Service> services_;
  std::map<std::uint64_t, Listener> listeners_;
  std::uint64_t nextOrder_ = 1;
  bool looking_ = false;
  TimePoint loggedAt_;
};

} // namespace goldcrestcroft
