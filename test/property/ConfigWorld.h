#pragma once

#include <goldcrestcroft/Config.h>
#include <goldcrestcroft/Platform.h>

#include <string>
#include <vector>

namespace testing {

using namespace goldcrestcroft;

/** \brief A part of the mechanism that a test takes away. */
enum class ConfigRemoved
{
  Nothing,
  /** Rows are written over instead of inserted if absent. */
  InsertCondition,
  /** A lost answer to an insert counts as refused. */
  ReadBack,
  /** Hosts take whole versions without looking at their number. */
  Monotony
};

/** \brief Entry hosts, operators and a table service under a schedule of
 * faults: racing patches, lost answers, outages, cuts, pauses, new hosts. */
class ConfigWorld
{
public:
  explicit ConfigWorld(ConfigRemoved aRemoved);

  auto Step(unsigned aChoice) -> void;
  /** \brief Ends all faults and lets the hosts talk; then checks that all are
   * at the newest version. */
  auto Heal() -> void;
  [[nodiscard]] auto Violation() const -> const std::string&
  {
    return violation_;
  }
  [[nodiscard]] auto Newest() const -> VersionNumber;
  [[nodiscard]] auto Refused() const -> int { return refused_; }

private:
  struct Host
  {
    ConfigFollower follower_;
    VersionNumber highest_ = 0;
    bool paused_ = false;
    std::vector<ConfigPatch> recent_;
  };
  struct Operator
  {
    PatchSubmission submission_;
    std::size_t host_ = 0;
    bool told_ = false;
  };

  auto MakeHost() -> Host;
  auto Submit(std::size_t aHost) -> void;
  auto Drive(Operator& aOperator, unsigned aFault) -> void;
  auto DriveInsert(Operator& aOperator, unsigned aFault) -> void;
  auto CheckTold(Operator& aOperator) -> void;
  auto Serve(std::size_t aHost, unsigned aChoice) -> void;
  auto ReadHead(Host& aHost) -> void;
  auto FetchFromTable(Host& aHost) -> void;
  auto Gossip(std::size_t aFrom, std::size_t aTo) -> void;
  auto Take(Host& aHost, const ConfigPatch& aPatch) -> void;
  auto CheckHosts() -> void;
  [[nodiscard]] auto RowOf(VersionNumber aNumber) const -> Row;

  ConfigRemoved removed_;
  VirtualClock clock_;
  MemoryTable table_;
  bool outage_ = false;
  std::vector<Host> hosts_;
  std::vector<Operator> operators_;
  std::vector<std::vector<RowWrite>> late_;
  std::vector<ConfigVersionPtr> oldViews_;
  int refused_ = 0;
  std::string violation_;
};

} // namespace testing
