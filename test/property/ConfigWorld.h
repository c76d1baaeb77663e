#pragma once

#include <goldcrestcroft/Config.h>
#include <goldcrestcroft/Platform.h>

#include <string>
#include <vector>

namespace testing {

using namespace goldcrestcroft;

/** \brief The part of the mechanism that a test disables. */
enum class ConfigRemoved
{
  Nothing,
  /** Existing rows are overwritten; normally rows are only inserted. */
  InsertCondition,
  /** A lost reply to an insert counts as refused. */
  ReadBack,
  /** Hosts accept complete versions regardless of their number. */
  MonotonicVersions
};

/** \brief Simulates entry hosts, operators and a table service under a schedule
 * of faults: concurrent patches, lost replies, delayed writes, outages, pauses
 * and replaced hosts. */
class ConfigWorld
{
public:
  explicit ConfigWorld(ConfigRemoved aRemoved);

  auto Step(unsigned aChoice) -> void;
  /** \brief Ends all faults and lets the hosts exchange state, then checks that
   * all hosts have the newest version. */
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
    bool notified_ = false;
  };

  auto MakeHost() -> Host;
  auto Submit(std::size_t aHost) -> void;
  auto Drive(Operator& aOperator, unsigned aFault) -> void;
  auto DriveInsert(Operator& aOperator, unsigned aFault) -> void;
  auto CheckReportedOutcome(Operator& aOperator) -> void;
  auto TickHost(std::size_t aHost, unsigned aChoice) -> void;
  auto ReadHead(Host& aHost) -> void;
  auto FetchFromTable(Host& aHost) -> void;
  auto Gossip(std::size_t aFrom, std::size_t aTo) -> void;
  auto ApplyPatch(Host& aHost, const ConfigPatch& aPatch) -> void;
  auto CheckHosts() -> void;
  [[nodiscard]] auto RowOf(VersionNumber aNumber) const -> Row;

  ConfigRemoved removed_;
  VirtualClock clock_;
  MemoryTable table_;
  bool outage_ = false;
  std::vector<Host> hosts_;
  std::vector<Operator> operators_;
  std::vector<std::vector<RowWrite>> delayedWrites_;
  std::vector<ConfigVersionPtr> pastVersions_;
  int refused_ = 0;
  std::string violation_;
};

} // namespace testing
