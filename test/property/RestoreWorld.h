#pragma once

#include "VirtualWorld.h"

#include <goldcrestcroft/src/Gateway/ConfigurationView.h>
#include <goldcrestcroft/src/Gateway/EngineRegistry.h>

#include <deque>
#include <memory>
#include <set>

namespace testing {

/** \brief Simulates hosts on a virtual clock that follow a store which returns
 * to older copies at any moment, while the operator and the engines write.
 *
 * Some hosts are cut off from the store at times, some restart, and some
 * replies of the store are delayed by seconds. */
class RestoreWorld : private VirtualWorld
{
public:
  struct Options
  {
    std::size_t hosts_ = 6;
    std::size_t engines_ = 8;
    /** Number of times that the store returns to a copy. */
    std::size_t restores_ = 3;
    /** Whether the hosts compare versions by era. */
    bool usesEras_ = true;
    goldcrestcroft::Duration duration_ = std::chrono::seconds{ 40 };
    unsigned seed_ = 1;
  };
  struct Outcome
  {
    /** Times that the configuration in force at a host was undone. */
    std::size_t undoneConfigurations_ = 0;
    /** Times that a host used an incarnation of an engine that it had known to
     * drain. */
    std::size_t undoneDrains_ = 0;
    /** Hosts with another configuration or other engines than the operator and
     * the engines have written, some seconds after everything has settled. */
    std::size_t hostsBehind_ = 0;
    /** Full reads of the store, and fetches from peers. */
    std::size_t fullReads_ = 0;
    std::size_t fetches_ = 0;
  };

  explicit RestoreWorld(Options aOptions);
  auto Simulate() -> Outcome;

private:
  struct Contents
  {
    std::map<std::string, goldcrestcroft::StoreRow> engines_;
    goldcrestcroft::StoreRow configuration_;
    goldcrestcroft::StoreVersion version_{ .era_ = 1 };
  };
  struct Host
  {
    Host();

    goldcrestcroft::EngineRegistry registry_;
    goldcrestcroft::ConfigurationView view_;
    std::uint64_t era_ = 0;
    /** Versions up to which the tables were read; none if they have to be read
     * in full. */
    std::optional<goldcrestcroft::StoreVersion> read_;
    bool cutOff_ = false;
    /** Changes with each start; replies to an earlier process are void. */
    unsigned incarnation_ = 0;
    std::set<std::string> drains_;
  };
  struct Reply
  {
    bool historyDropped_ = false;
    bool whole_ = false;
    std::vector<goldcrestcroft::StoreRow> engines_;
    std::vector<goldcrestcroft::StoreRow> configuration_;
    goldcrestcroft::StoreVersion version_;
  };

  static auto IdOf(std::size_t aEngine) -> std::string
  {
    return "e" + std::to_string(aEngine);
  }

  auto Poll(std::size_t aHost) -> void;
  auto Serve(std::optional<goldcrestcroft::StoreVersion> aAfter) const -> Reply;
  auto OnReply(Host& aHost, const Reply& aReply) -> void;
  auto LearnEra(Host& aHost, std::uint64_t aEra) -> void;
  auto Adopt(Host& aHost, const goldcrestcroft::StoreRow& aRow) -> void;
  auto Gossip(std::size_t aHost) -> void;
  auto Fetch(Host& aHost, const Host& aPeer) -> void;
  auto CheckEngines(Host& aHost) -> void;
  auto Write(goldcrestcroft::StoreRow& aRow, const std::string& aValue) -> void;
  auto WriteEngine(std::size_t aEngine) -> void;
  auto Disturb() -> void;
  auto Restore() -> void;
  auto RewriteAll() -> void;
  [[nodiscard]] auto IsBehind(const Host& aHost) const -> bool;
  [[nodiscard]] auto EraOf(std::uint64_t aEra) const -> std::uint64_t
  {
    return options_.usesEras_ ? aEra : 0;
  }

  Options options_;
  TimePoint begin_;
  std::vector<std::unique_ptr<Host>> hosts_;
  Contents contents_;
  std::deque<std::pair<TimePoint, Contents>> copies_;
  /** What the operator and the engines have written last. */
  std::uint64_t configuration_ = 0;
  std::vector<std::string> engines_;
  std::vector<unsigned> born_;
  Outcome outcome_;
};

} // namespace testing
