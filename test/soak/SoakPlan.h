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
  /** Planned work from here on. */
  EngineDrain,
  NewRoute,
  KeyRevoked,
  IdleTimeChanged,
  /** The engine names a limit for a while. */
  EngineLimited,
  /** The store serves only some hosts, for longer than a change may take. */
  StoreTurnsAway
};

auto ToString(FaultKind aKind) -> std::string;

/** \brief One fault or piece of planned work. */
struct Fault
{
  /** From the start of traffic. */
  Millis at_{ 0 };
  Millis for_{ 0 };
  FaultKind kind_ = FaultKind::HostPause;
  std::size_t target_ = 0;
  /** Picks among the forms of the kind. */
  std::size_t variant_ = 0;

  auto operator<=>(const Fault&) const = default;
};

/** \brief All faults of a run, in order of time; the same for the same seed.
 *
 * Each phase harms two of hosts, engines, store and callers' connections, so
 * that the rules which excuse one kind of trouble still bind in some phases.
 * Faults of a phase overlap. In all phases a host is told to read again and to
 * stop at once beside a change of the configuration, and now and then the store
 * turns most hosts away. */
auto MakeSoakPlan(std::uint64_t aSeed, Millis aLength, std::size_t aHosts,
                  std::size_t aEngines) -> std::vector<Fault>;

/** \brief After all faults, and once nothing excuses anything: one host is
 * told to stop, and nothing else happens. */
auto MakeCalmStop(std::uint64_t aSeed, std::size_t aHosts) -> Fault;

} // namespace soak
