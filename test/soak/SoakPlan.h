#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace soak {

using Millis = std::chrono::milliseconds;

enum class FaultKind
{
  HostPause,
  HostKill,
  HostStop,
  HostReload,
  EngineLink,
  EngineTrouble,
  EngineSlow,
  EngineRestart,
  StoreLink,
  StoreBusy,
  StoreLosesAnswers,
  StoreForgets,
  CallerLink,
  /** From here on, planned operations rather than faults. */
  EngineDrain,
  NewRoute,
  KeyRevoked,
  IdleTimeChanged,
  /** The engine advertises a rate limit for a while. */
  EngineLimited,
  /** The store serves only some hosts, for longer than a change may take to
   * propagate. */
  StoreTurnsAway,
  /** The store is away for a moment and returns to an older copy. */
  StoreRestored,
  /** Responses of the engine have no length and end with their connection;
   * some are broken off at any byte. */
  EngineUnframed,
  /** The store and all engines keep their connections and send nothing. */
  PlatformStands,
  /** The store and all engines reset their connections, and new ones too. */
  PlatformAway,
  /** All hosts are killed at once and later started at once. */
  AllHostsReturn,
  /** The store is silent, resets connections or loses its replies for all
   * hosts, and all or half of them are killed meanwhile. */
  HostsLostInOutage
};

auto ToString(FaultKind aKind) -> std::string;

/** \brief One fault or planned operation. */
struct Fault
{
  /** Time since the start of the fault plan. */
  Millis at_{ 0 };
  Millis for_{ 0 };
  FaultKind kind_ = FaultKind::HostPause;
  std::size_t target_ = 0;
  /** Selects among the forms of the kind. */
  std::size_t variant_ = 0;

  auto operator<=>(const Fault&) const = default;
};

/** \brief Returns all faults of a run in order of time; a seed always gives the
 * same ones.
 *
 * Each phase has faults of at most two of hosts, engines, store and callers'
 * connections, so that the rules that excuse one kind of fault still apply in
 * some phases. Faults of a phase overlap. In all phases, a host now and then
 * gets SIGHUP and SIGTERM at the moment of a configuration change, and the
 * store at times refuses most hosts. With one seed in four, the store also
 * returns to older copies; with one in two, engines send responses without a
 * length; with one in five, the platform stands still or is away, and all hosts
 * are killed at once; with one in ten, model engines of two software versions
 * serve, and hosts are lost while the store is away. */
auto MakeSoakPlan(std::uint64_t aSeed, Millis aLength, std::size_t aHosts,
                  std::size_t aEngines) -> std::vector<Fault>;

/** \brief Whether model engines of two software versions serve in the run. */
auto HasSeveralVersions(std::uint64_t aSeed) -> bool;

/** \brief Returns the stop of one host that follows all faults, when no earlier
 * fault excuses a violation any more and nothing else happens. */
auto MakeUndisturbedStop(std::uint64_t aSeed, std::size_t aHosts) -> Fault;

} // namespace soak
