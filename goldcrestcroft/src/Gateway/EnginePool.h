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
   * word to this host. */
  std::optional<double> limit_;
  EngineLoadReport report_;
  TimePoint reportedAt_;

  struct Kept
  {
    std::shared_ptr<EngineConnection> connection_;
    TimePoint until_;
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
    /** Longest pause that an engine may ask for. */
    Duration longestPause_ = std::chrono::seconds{ 60 };
    /** Starts of engines that leave are remembered for this long, whatever
     * entries say; far longer than an engine takes to leave. */
    Duration rememberLeaving_ = std::chrono::minutes{ 10 };
    /** Told once for each start of an engine that says that it leaves. */
    std::function<void(const EngineEntry&)> onLeaving_ =
      [](const EngineEntry&) {};
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

  /** \brief A kept connection or a new one; none if it cannot be opened. With
   * aSettles a new one is handed out only once the engine would have reset
   * it, for what must not be sent in vain. */
  auto Open(std::shared_ptr<EngineState> aEngine, bool aSettles = false)
    -> Task<EngineLease>;
  /** \brief Keeps the connection for aKeepFor, zero for the usual. */
  auto Keep(const EngineLease& aLease, Duration aKeepFor) -> void;
  /** \brief False only if its address surely takes no connections. */
  auto Reaches(std::shared_ptr<EngineState> aEngine) -> Task<bool>;
  /** \brief Closes the connection. */
  auto Drop(const EngineLease& aLease) -> void;
  /** \brief Takes what the engine says of itself in an answer: that it leaves,
   * or that it wants nothing for a while. */
  auto Heed(const EngineLease& aLease, const EngineAnswerHead& aHead) -> void;
  /** \brief Bodies of answers that are held, of all connections. */
  auto Held() -> HeldBytes& { return held_; }
  /** \brief Counts an answer that passed the bound of this name. */
  auto CountCut(const std::string& aBound) const -> void
  {
    options_.count_("engine_answers_cut_" + aBound);
  }
  /** \brief Another host was told that this start of an engine leaves. */
  auto OnLeaving(const std::string& aId, std::uint64_t aStartedAt) -> void;

private:
  auto IsSettled(EngineConnection& aConnection) -> Task<bool>;
  auto CloseKept(EngineState& aEngine) -> void;
  auto HeedLimit(EngineState& aEngine, const EngineAnswerHead& aHead) -> void;
  auto TakeKept(EngineState& aEngine) -> std::shared_ptr<EngineConnection>;

  asio::io_context& context_;
  Options options_;
  HeldBytes held_;
  SuspendAwareClock clock_;
  std::shared_ptr<const EngineList> engines_ =
    std::make_shared<const EngineList>();
  std::map<std::string, std::shared_ptr<EngineState>> states_;
  /** By id and start, with when it was heard. */
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> leaving_;
};

} // namespace goldcrestcroft
