#pragma once

#include "../../Engines.h"
#include "EngineConnection.h"
#include "EngineLoadReport.h"
#include "HeldBytes.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace goldcrestcroft {

/** \brief What this host knows of one engine, and its kept connections. */
struct EngineState
{
  EngineEntry entry_;
  EngineHealth health_;
  EngineConsent consent_;
  /** Requests of this host that it works on. */
  std::size_t ownRequests_ = 0;
  std::size_t openConnections_ = 0;
  /** Requests a second that it takes from all hosts together, by its last
   * word to any of them. */
  std::optional<double> limit_;
  EngineLoadReport report_;
  TimePoint reportedAt_;

  struct Kept
  {
    std::shared_ptr<EngineConnection> connection_;
    TimePoint until_;
    TimePoint since_;
  };
  std::deque<Kept> kept_;

  /** \brief Requests that it runs or keeps waiting, by its last word. */
  [[nodiscard]] auto ReportedRequests(TimePoint aNow) const -> double;
};

struct EngineAnswerHead;

/** \brief A connection in use, with its engine. */
struct EngineLease
{
  std::shared_ptr<EngineState> engine_;
  std::shared_ptr<EngineConnection> connection_;
  /** How long the connection was kept unused before; none for a new one. */
  std::optional<Duration> rested_;
  /** There is no connection since all requests that the engine takes from all
   * hosts together are given away. */
  bool denied_ = false;
  /** Nothing was sent before this. */
  TimePoint takenAt_{};
};

/** \brief What is to be sent on a connection. */
struct OpenWish
{
  /** A new connection is handed out only once the engine would have reset it,
   * for what must not be sent in vain. */
  bool settles_ = false;
  /** No repeat could mend a loss: no connection that has rested for longer
   * than is safe. */
  bool once_ = false;
  /** How long it may wait for its turn at an engine that names a limit. */
  Duration patience_{};
};

/** \brief Connections to engines, kept for the next request. */
class EnginePool
{
public:
  struct Options
  {
    Duration connectTimeout_ = std::chrono::milliseconds{ 400 };
    /** An engine that has all the connections that it takes resets a new one
     * within this; two ways between zones and the time of a handshake. */
    Duration settleTime_ = std::chrono::milliseconds{ 5 };
    /** Where an engine does not say how long it keeps a connection. */
    Duration defaultKeep_ = std::chrono::seconds{ 4 };
    /** Given up this much before the engine would close it, so that no
     * request meets the close. */
    Duration keepMargin_ = std::chrono::milliseconds{ 1000 };
    std::size_t mostKept_ = 8;
    RestLimit::Options rest_;
    /** Longest pause that an engine may ask for. */
    Duration longestPause_ = std::chrono::seconds{ 60 };
    /** Starts of engines that leave are remembered for this long, whatever
     * entries say; far longer than an engine takes to leave. */
    Duration rememberLeaving_ = std::chrono::minutes{ 10 };
    /** Told once for each start of an engine that says that it leaves. */
    std::function<void(const EngineEntry&)> onLeaving_ =
      [](const EngineEntry&) {};
    /** Told of each word on an engine's limit, once a second at most where it
     * says the same. */
    std::function<void(const EngineLimit&)> onLimit_ = [](const EngineLimit&) {
    };
    /** Seeks the right to send one request to an engine that names a limit. */
    std::function<Task<Permit>(EngineLimit aLimit, Duration aPatience)>
      permit_ = [](EngineLimit, Duration) -> Task<Permit> {
      co_return Permit{ .granted_ = true };
    };
    /** A permit is good for a connection that takes no longer than this to
     * make, so that requests do not reach the engine out of turn. */
    Duration usePermitWithin_ = std::chrono::milliseconds{ 250 };
    /** Counts an event by its name. */
    std::function<void(const std::string&)> count_ = [](const std::string&) {};
  };

  EnginePool(asio::io_context& aContext, Options aOptions)
    : context_(aContext)
    , options_(std::move(aOptions))
  {
  }

  /** \brief The engines in use from now on. */
  auto SetEngines(std::shared_ptr<const EngineList> aEngines) -> void;
  [[nodiscard]] auto Engines() const -> const EngineList& { return *engines_; }
  /** \brief State of an engine of the list. */
  auto StateOf(const EngineEntry& aEntry) -> std::shared_ptr<EngineState>;

  /** \brief A kept connection or a new one, for one request; none if it cannot
   * be opened, or if the engine takes no more. */
  auto Open(std::shared_ptr<EngineState> aEngine, OpenWish aWish = {})
    -> Task<EngineLease>;
  /** \brief Keeps the connection for aKeepFor, zero for the usual. */
  auto Keep(const EngineLease& aLease, Duration aKeepFor) -> void;
  /** \brief False only if its address surely takes no connections. */
  auto Reaches(std::shared_ptr<EngineState> aEngine) -> Task<bool>;
  /** \brief The exchange on it ended without a whole answer, and not by this
   * host; it may have been forgotten by the engine. */
  auto NoteBroken(const EngineLease& aLease) -> void;
  /** \brief Closes the connection. */
  auto Drop(const EngineLease& aLease) -> void;
  /** \brief Takes what the engine says of itself in an answer: that it leaves,
   * or that it wants nothing for a while. */
  auto Heed(const EngineLease& aLease, const EngineAnswerHead& aHead) -> void;
  /** \brief Bodies of answers that are held, of all connections. */
  auto Held() -> HeldBytes& { return held_; }
  auto Count(const std::string& aCounter) const -> void
  {
    options_.count_(aCounter);
  }
  /** \brief Counts an answer that passed the bound of this name. */
  auto CountCut(const std::string& aBound) const -> void
  {
    options_.count_("engine_answers_cut_" + aBound);
  }
  /** \brief Another host was told of an engine's limit. */
  auto OnLimit(const EngineLimit& aWord) -> void;
  /** \brief Another host was told that this start of an engine leaves. */
  auto OnLeaving(const std::string& aId, std::uint64_t aStartedAt) -> void;

private:
  using Kept = EngineState::Kept;

  auto IsSettled(EngineConnection& aConnection) -> Task<bool>;
  auto CloseKept(EngineState& aEngine) -> void;
  auto Connect(std::shared_ptr<EngineState> aEngine, const OpenWish& aWish)
    -> Task<EngineLease>;
  auto HeedLimit(const EngineLease& aLease, const EngineAnswerHead& aHead)
    -> void;
  /** \brief The least of the limits that the answer names; sets aReadable to
   * false where it names one that is no number. */
  auto ReadLimits(const EngineEntry& aEntry, const EngineAnswerHead& aHead,
                  bool& aReadable) const -> std::optional<double>;
  /** \brief Goes by a word that changes what is known. */
  auto ApplyLimit(const EngineLimit& aWord, const std::string& aEvent) -> void;
  /** \brief Whether the engine's turn for one more request has come. */
  auto AwaitTurn(std::shared_ptr<EngineState> aEngine, Duration aPatience)
    -> Task<bool>;
  /** \brief The one that has rested least, if it may be used. Closes those
   * that may not. */
  auto TakeKept(EngineState& aEngine, bool aOnce) -> std::optional<Kept>;

  asio::io_context& context_;
  Options options_;
  HeldBytes held_;
  SuspendAwareClock clock_;
  std::shared_ptr<const EngineList> engines_ =
    std::make_shared<const EngineList>();
  std::map<std::string, std::shared_ptr<EngineState>> states_;
  /** By id and start, with when it was heard. */
  std::map<EngineStart, TimePoint> leaving_;
  LimitBoard limits_;
  /** By service; only of those where one was lost lately. */
  std::map<std::string, RestLimit> restLimits_;
};

} // namespace goldcrestcroft
