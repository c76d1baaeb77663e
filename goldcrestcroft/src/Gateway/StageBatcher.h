#pragma once

#include "../../Staging.h"
#include "DuplicateResponseDetector.h"
#include "EngineExchange.h"

#include <functional>
#include <set>

namespace goldcrestcroft {

/** \brief Batches pieces of all hosts for the stage services into shared calls
 * and dispatches these to the engines.
 *
 * Each engine runs one call at a time from this batcher and gets the next one
 * as soon as that ends, so the batch size follows the load. Traffic thread
 * only. */
class StageBatcher
{
public:
  /** Receives results of an order as they arrive. */
  using ResultCallback = std::function<void(std::vector<PieceResult>)>;
  struct Options
  {
    StageQueue::Options queue_;
    /** A call times out after this many times the duration that the service's
     * profile states, plus callSlack_; its pieces then go to another engine.
     */
    double callTimeoutFactor_ = 3.0;
    Duration callSlack_ = std::chrono::milliseconds{ 400 };
    /** Pause of an engine that reported no memory for results. */
    Duration memoryPause_ = std::chrono::milliseconds{ 120 };
    /** Pause of an engine that had no capacity for a call, doubled with each
     * consecutive refusal up to maxFullPause_. While lists of hosts differ,
     * other hosts coordinate the service as well and occupy its engines. */
    Duration fullPause_ = std::chrono::milliseconds{ 50 };
    Duration maxFullPause_ = std::chrono::milliseconds{ 800 };
    std::size_t maxTries_ = 3;
    /** Fraction of an engine's result memory that calls may fill. */
    double memoryShare_ = 0.95;
    /** Time within which an idle engine has fetched the inputs of a call. */
    Duration fetchTime_ = std::chrono::milliseconds{ 60 };
    /** Retry time that is reported when an expired order is refused. */
    Duration retryAfter_ = std::chrono::milliseconds{ 1000 };
    /** Interval at which dispatch is retried while pieces wait. */
    Duration dispatchInterval_ = std::chrono::milliseconds{ 20 };
    /** Releases for one engine are gathered this long and sent together. */
    Duration releaseDelay_ = std::chrono::milliseconds{ 10 };
  };

  StageBatcher(asio::io_context& aContext, Options aOptions, EnginePool& aPool,
               const PlatformCodec& aCodec);

  auto SetRouting(std::shared_ptr<const RoutingTable> aRouting) -> void;
  /** \brief To be called when the list of engines has changed. */
  auto OnEngines() -> void;

  /** \brief Queues an order; sets its id and returns it. aOnResults is called
   * with results as they arrive, until each piece has one. */
  auto Place(StageOrder aOrder, ResultCallback aOnResults) -> std::uint64_t;
  /** \brief Counts expected pieces as future work; returns an id for Cancel.
   */
  auto Plan(const std::string& aService, StagePlan aPlan) -> std::uint64_t;
  auto Cancel(const std::string& aService, std::uint64_t aOrder) -> void;
  auto Release(const std::string& aService,
               const std::vector<std::string>& aHandles) -> void;
  /** \brief Reports the waiting pieces of all services as moved, so that they
   * are ordered from the next coordinator. */
  auto MoveAllWaiting() -> void;
  /** \brief Reports the waiting pieces of the service as moved. */
  auto MoveWaiting(const std::string& aService) -> void;
  /** \brief Notes that another host may be calling the service's engines. */
  auto OnPossibleContention(const std::string& aService) -> void;

  /** \brief Forecast wait of a new order, for each service batched here. */
  [[nodiscard]] auto Backlogs() -> std::vector<StageBacklog>;

private:
  struct Engine
  {
    std::shared_ptr<EngineState> state_;
    ResultMemory resultMemory_;
    ExclusiveUse exclusiveUse_;
    DuplicateResponseDetector duplicates_;
    bool busy_ = false;
    TimePoint pausedUntil_;
    /** Consecutive calls that it had no capacity for. */
    std::uint32_t consecutiveFull_ = 0;
    std::vector<std::string> toRelease_;
    bool releasing_ = false;
    Duration lastCallTime_{};
  };
  struct Service
  {
    std::string name_;
    StageProfile profile_;
    StageQueue queue_;
    std::map<std::string, std::shared_ptr<Engine>> engines_;
    /** Time from arrival to due time of the latest order of each rank. */
    std::map<int, Duration> dueIn_;
    ServiceRate rate_;
  };
  /** An order that is neither cancelled nor refused. */
  struct PlacedOrder
  {
    ResultCallback onResults_;
    std::map<std::uint32_t, std::size_t> tries_;
  };
  struct Call
  {
    std::vector<PieceTicket> tickets_;
    std::vector<StageCallPiece> pieces_;
    std::vector<double> bytes_;
  };

  auto Find(const std::string& aService) -> Service*;
  auto MoveWaiting(Service& aService) -> void;
  /** \brief Whether a call may be sent to the engine now. */
  [[nodiscard]] auto CanTakeCall(const Engine& aEngine) const -> bool;
  auto RatePlan(const Service& aService) const -> ServiceRate::Plan;
  /** \brief Refuses expired orders, then sends a call to each engine of the
   * service that can take one. */
  auto Dispatch(Service& aService) -> void;
  /** \brief Dispatches for all services after dispatchInterval_. */
  auto DispatchLater() -> Task<void>;
  auto LogBacklog(const Service& aService) -> void;
  auto MakeCall(Service& aService, const std::vector<PieceTicket>& aTickets)
    -> Call;
  auto RunCall(std::string aService, std::shared_ptr<Engine> aEngine,
               Call aCall) -> Task<void>;
  auto Exchange(const StageProfile& aProfile, Engine& aEngine,
                const Call& aCall) -> Task<std::vector<PieceResult>>;
  /** \brief Pauses an engine that had no capacity for a call. */
  auto OnEngineFull(Engine& aEngine) -> void;
  /** \brief Accounts for the results of a call; each piece is reported or
   * goes back to the queue. */
  auto Settle(Service& aService, Engine& aEngine, const Call& aCall,
              const std::vector<PieceResult>& aResults) -> void;
  /** \brief Token that exists until the engine has responded to a call. */
  struct CallInFlight
  {};
  /** \brief Reports the pieces of a call as begun if the call is still in
   * flight after fetchTime_. */
  auto ReportBegun(std::weak_ptr<const CallInFlight> aCall,
                   std::vector<PieceTicket> aTickets) -> Task<void>;
  auto SendReleases(std::shared_ptr<Engine> aEngine) -> Task<void>;
  auto Report(std::uint64_t aOrder, std::vector<PieceResult> aResults) -> void;
  /** \brief The model engine for a request, of the engines that aShard assigns;
   * empty if none can be assigned. */
  auto AssignEngine(const std::string& aShard, std::uint64_t aOrder,
                    const PromptWork& aWork) -> std::string;
  /** \brief The next response on a connection. */
  struct Response
  {
    /** 0 if no complete response arrived. */
    int status_ = 0;
    std::string body_;
    bool reusable_ = false;
    /** How long the engine keeps the connection open; zero if not stated. */
    Duration keepFor_{};
  };
  struct CallResponse
  {
    int status_ = 0;
    /** Empty if the response could not be decoded. */
    std::vector<PieceResult> pieces_;
  };
  auto ReadResponse(EngineLease aLease) -> Task<Response>;
  /** \brief Reads the response to a call and skips duplicates of earlier
   * responses; returns the connection to the pool or drops it. */
  auto ReadCallResponse(EngineLease aLease, Engine& aEngine,
                        std::size_t aPieces) -> Task<CallResponse>;
  [[nodiscard]] auto Decode(const Response& aResponse,
                            std::size_t aPieces) const
    -> std::vector<PieceResult>;
  /** \brief Returns the connection to the pool if it is reusable, else drops
   * it. */
  auto ReturnConnection(const EngineLease& aLease, const Response& aResponse)
    -> void;
  auto WriteCall(const EngineLease& aLease, const EngineCall& aCall,
                 Duration aTimeout) -> Task<bool>;

  asio::io_context& context_;
  Options options_;
  EnginePool& pool_;
  const PlatformCodec& codec_;
  SuspendAwareClock clock_;
  std::shared_ptr<const RoutingTable> routing_;
  std::map<std::string, Service> services_;
  std::map<std::uint64_t, PlacedOrder> placedOrders_;
  struct Assignments
  {
    EngineAssigner assigner_;
    TimePoint refreshedAt_;
  };
  /** By the name of the shard. */
  std::map<std::string, Assignments> assignments_;
  std::uint64_t nextOrder_ = 1;
  bool dispatchScheduled_ = false;
  TimePoint loggedAt_;
};

} // namespace goldcrestcroft
