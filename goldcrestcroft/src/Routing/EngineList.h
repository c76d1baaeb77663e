#pragma once

#include "EngineEntry.h"

#include <map>
#include <set>
#include <vector>

namespace goldcrestcroft {

/** \brief A snapshot of the registered engines, by service. An engine that
 * drains, or whose zone is evacuated, is known by its id, but is in no
 * service's list. */
class EngineList
{
public:
  EngineList() = default;
  explicit EngineList(const std::vector<EngineEntry>& aEntries,
                      const std::set<std::string>& aEvacuatedZones = {});

  [[nodiscard]] auto EnginesOf(const std::string& aService) const
    -> const std::vector<EngineEntry>&;
  /** \brief Whether this incarnation of the engine is registered at this
   * address, with this software version, and not draining. */
  [[nodiscard]] auto Contains(const EngineEntry& aEngine) const -> bool;
  /** \brief Whether this incarnation of the engine is registered, draining or
   * not. */
  [[nodiscard]] auto IsRegistered(const std::string& aId,
                                  std::uint64_t aStartedAt) const -> bool;
  /** \brief Whether this incarnation of the engine has advertised that it is
   * draining. */
  [[nodiscard]] auto IsDraining(const std::string& aId,
                                std::uint64_t aStartedAt) const -> bool;
  /** \brief Whether the service has engines, but only in evacuated zones. */
  [[nodiscard]] auto IsEvacuated(const std::string& aService) const -> bool
  {
    return evacuated_.contains(aService) && EnginesOf(aService).empty();
  }
  /** \brief The software versions of the registered engines, by service,
   * draining or not. */
  [[nodiscard]] auto Versions() const
    -> const std::map<std::string, std::set<std::string>>&
  {
    return versions_;
  }
  /** \brief Whether an engine of the service that is in its list has the
   * software version. */
  [[nodiscard]] auto HasVersion(const std::string& aService,
                                const std::string& aVersion) const -> bool;
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

private:
  std::map<std::string, std::vector<EngineEntry>> byService_;
  /** Incarnation and state of a registered engine. */
  struct Listed
  {
    std::uint64_t startedAt_ = 0;
    bool draining_ = false;
  };
  std::map<std::string, Listed> listed_;
  std::map<std::string, std::set<std::string>> versions_;
  /** Services with engines in evacuated zones. */
  std::set<std::string> evacuated_;
  std::size_t size_ = 0;
};

} // namespace goldcrestcroft
