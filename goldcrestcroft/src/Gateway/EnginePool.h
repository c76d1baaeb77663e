#pragma once

#include "../../Engines.h"
#include "EngineConnection.h"
#include "EngineLoadReport.h"

#include <deque>
#include <map>
#include <memory>

namespace goldcrestcroft {

/** \brief What this host knows of one engine, and its kept connections. */
struct EngineState
{
  EngineEntry entry_;
  EngineHealth health_;
  /** Requests of this host that it works on. */
  std::size_t ownRequests_ = 0;
  std::size_t openConnections_ = 0;
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
  };

  EnginePool(asio::io_context& aContext, Options aOptions)
    : context_(aContext)
    , options_(aOptions)
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
  /** \brief Closes the connection. */
  auto Drop(const EngineLease& aLease) -> void;

private:
  auto IsSettled(EngineConnection& aConnection) -> Task<bool>;
  auto TakeKept(EngineState& aEngine) -> std::shared_ptr<EngineConnection>;

  asio::io_context& context_;
  Options options_;
  SuspendAwareClock clock_;
  std::shared_ptr<const EngineList> engines_ =
    std::make_shared<const EngineList>();
  std::map<std::string, std::shared_ptr<EngineState>> states_;
};

} // namespace goldcrestcroft
