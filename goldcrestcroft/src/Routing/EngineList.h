#pragma once

#include "EngineEntry.h"

#include <map>
#include <vector>

namespace goldcrestcroft {

/** \brief The engines in use at one moment, by service; none is draining. */
class EngineList
{
public:
  EngineList() = default;
  explicit EngineList(const std::vector<EngineEntry>& aEntries);

  [[nodiscard]] auto Of(const std::string& aService) const
    -> const std::vector<EngineEntry>&;
  /** \brief Whether this start of the engine is still in use. */
  [[nodiscard]] auto Contains(const EngineEntry& aEngine) const -> bool;
  /** \brief Whether the store names this start of the engine, draining or
   * not. */
  [[nodiscard]] auto Names(const std::string& aId,
                           std::uint64_t aStartedAt) const -> bool;
  /** \brief Whether the engine has said that it drains. */
  [[nodiscard]] auto IsDraining(const std::string& aId) const -> bool;
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

private:
  std::map<std::string, std::vector<EngineEntry>> byService_;
  /** Start and state of each engine named, by its id. */
  struct Named
  {
    std::uint64_t startedAt_ = 0;
    bool draining_ = false;
  };
  std::map<std::string, Named> named_;
  std::size_t size_ = 0;
};

} // namespace goldcrestcroft
