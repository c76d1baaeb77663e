#pragma once

#include "../../../Config.h"
#include "../Settings.h"
#include "ControlMail.h"
#include "PlatformTable.h"

#include <deque>

namespace goldcrestcroft {

/** \brief Keeps the configuration of one host current and accepts operators'
 * patches, over the table service, the object store and peers. Lives on the
 * control thread. */
class ConfigKeeper
{
public:
  /** \brief What the keeper needs from its host. */
  struct Handlers
  {
    /** A peer that knows at least this version: its caller address, if any. */
    std::function<std::string(VersionNumber)> pickPeer_;
    /** Asks a peer for the patches after a version. */
    std::function<void(VersionNumber)> askPeer_;
    /** A patch was accepted through this host: tell all. */
    std::function<void(const ConfigPatch&)> onAccepted_;
  };

  ConfigKeeper(const PlatformSettings& aSettings, HostId aHost,
               Incarnation aIncarnation, HttpClient& aHttp,
               PlatformTable& aTable, Handlers aHandlers, TimePoint aNow);

  auto Tick(TimePoint aNow) -> void;
  auto OnNumberHeard(VersionNumber aNumber, TimePoint aNow) -> void;
  auto OnPatches(const std::vector<ConfigPatch>& aPatches, TimePoint aNow)
    -> void;
  auto OnSubmitted(PatchSubmitted aPatch) -> void;
  auto OnHistoryAsked(HistoryAsked aAsked) -> void;
  /** \brief Patches after a version, without gaps, if they are at hand. */
  [[nodiscard]] auto PatchesAfter(VersionNumber aVersion) const
    -> std::vector<ConfigPatch>;
  [[nodiscard]] auto InForce() const -> const ConfigVersionPtr&
  {
    return follower_.InForce();
  }
  [[nodiscard]] auto Confirmed() const -> bool { return follower_.Confirmed(); }

private:
  struct Submission
  {
    PatchSubmission state_;
    PatchSubmitted mail_;
  };

  auto ReadHead() -> void;
  auto Fetch(TimePoint aNow) -> void;
  auto FetchFromTable() -> void;
  auto FetchWhole(const std::string& aUrl) -> void;
  auto Take(const ConfigPatch& aPatch, TimePoint aNow) -> void;
  auto Drive(const std::shared_ptr<Submission>& aSubmission) -> void;
  auto Insert(const std::shared_ptr<Submission>& aSubmission) -> void;
  auto ReadBack(const std::shared_ptr<Submission>& aSubmission) -> void;
  auto Finish(Submission& aSubmission) -> void;
  auto SaveSnapshot(const ConfigVersionPtr& aVersion) -> void;

  PlatformSettings settings_;
  HostId host_;
  Incarnation incarnation_;
  SteadyClock clock_;
  HttpClient& http_;
  PlatformTable& table_;
  Handlers handlers_;
  ConfigFollower follower_;
  std::deque<ConfigPatch> recent_;
  VersionNumber snapshot_ = 0;
  unsigned fetches_ = 0;
  std::uint64_t submissions_ = 0;
};

} // namespace goldcrestcroft
