#pragma once

#include "../../../Config.h"
#include "../Settings.h"
#include "ControlMessage.h"
#include "PlatformTable.h"

#include <deque>

namespace goldcrestcroft {

/** \brief Keeps the configuration of one host up to date and accepts operators'
 * patches, using the table service, the object store and peers. Used on the
 * control thread only. */
class ConfigManager
{
public:
  /** \brief Callbacks into the host. */
  struct Handlers
  {
    /** Returns the caller address of a peer that has at least this version, or
     * an empty string. */
    std::function<std::string(VersionNumber)> findPeer_;
    /** Requests the patches after a version from a peer. */
    std::function<void(VersionNumber)> requestPatches_;
    /** Called when a patch was accepted through this host, to send it to all
     * peers. */
    std::function<void(const ConfigPatch&)> onAccepted_;
  };

  ConfigManager(const PlatformSettings& aSettings, HostId aHost,
                Incarnation aIncarnation, HttpClient& aHttp,
                PlatformTable& aTable, Handlers aHandlers, TimePoint aNow);

  auto Tick(TimePoint aNow) -> void;
  auto OnVersionAdvertised(VersionNumber aNumber, TimePoint aNow) -> void;
  auto OnPatches(const std::vector<ConfigPatch>& aPatches, TimePoint aNow)
    -> void;
  auto OnSubmitted(PatchSubmitted aPatch) -> void;
  auto OnHistoryRequested(HistoryRequested aAsked) -> void;
  /** \brief Returns consecutive patches after a version from the recent patches
   * in memory; empty if the first one is missing. */
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
  auto FetchSnapshot(const std::string& aUrl) -> void;
  auto ApplyPatch(const ConfigPatch& aPatch, TimePoint aNow) -> void;
  auto Advance(const std::shared_ptr<Submission>& aSubmission) -> void;
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
