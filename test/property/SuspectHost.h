#pragma once

#include <goldcrestcroft/Engines.h>

#include <optional>
#include <string>
#include <vector>

namespace testing {

/** \brief A datagram between hosts about lost runs; times are relative, since
 * hosts share no clock. */
struct SuspectDatagram
{
  struct Lost
  {
    std::uint64_t request_ = 0;
    std::uint64_t run_ = 0;
    goldcrestcroft::Duration beganAgo_{};
    goldcrestcroft::Duration endedAgo_{};
    std::uint64_t lastPart_ = 0;
    bool responding_ = false;
  };

  std::vector<goldcrestcroft::SuspectNotice> notices_;
  std::vector<Lost> lost_;
};

/** \brief A run in the simulation. */
struct WorldRun
{
  std::uint64_t request_ = 0;
  std::uint64_t run_ = 0;
  /** Identifies the incarnation of the engine. */
  std::uint64_t engine_ = 0;
  goldcrestcroft::TimePoint began_;
  /** Parts of the prompt that others may share, not proven sound by this run.
   */
  std::vector<std::uint64_t> parts_;
  /** Whether the engine has begun to respond. */
  bool responding_ = false;
};

/** \brief The state of a host about poison requests, used in the same way as by
 * the gateway and the control plane. */
class SuspectHost
{
public:
  struct Outgoing
  {
    /** Id of the receiving host; if empty, any other host. */
    std::string to_;
    SuspectDatagram datagram_;
  };

  explicit SuspectHost(std::string aId)
    : id_(std::move(aId))
  {
  }

  auto SetHosts(const std::vector<std::string>& aIds) -> void
  {
    reports_.SetHosts(aIds);
  }
  auto OnLost(const WorldRun& aRun, goldcrestcroft::TimePoint aNow)
    -> std::vector<Outgoing>
  {
    goldcrestcroft::LostRun lost{ .request_ = aRun.request_,
                                  .run_ = aRun.run_,
                                  .began_ = aRun.began_,
                                  .ended_ = aNow,
                                  .responding_ = aRun.responding_ };
    reports_.Add(lost);
    auto out = Disseminate(counter_.OnLost(lost, aNow), aNow);
    for (const auto part : aRun.parts_) {
      lost.request_ = part;
      lost.lastPart_ = part == aRun.parts_.back() ? 0 : aRun.parts_.back();
      reports_.Add(lost);
      for (auto& message : Disseminate(counter_.OnLost(lost, aNow), aNow)) {
        out.push_back(std::move(message));
      }
    }
    return out;
  }
  auto OnCompleted(std::uint64_t aRequest, goldcrestcroft::TimePoint aNow)
    -> std::vector<Outgoing>
  {
    return Disseminate(table_.OnCompleted(aRequest, aNow), aNow);
  }
  [[nodiscard]] auto IsQuarantined(std::uint64_t aRequest,
                                   goldcrestcroft::TimePoint aNow) const -> bool
  {
    return table_.LevelOf(aRequest, aNow) ==
           goldcrestcroft::SuspectLevel::Quarantined;
  }
  auto Tick(goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    table_.Expire(aNow);
    counter_.Expire(aNow);
    std::vector<Outgoing> out{ { "", { .notices_ = TakeNotices(aNow) } } };
    auto due = counter_.Due(aNow);
    for (const auto& notice : counter_.TakeIncreasedCounts(aNow)) {
      due.push_back(notice);
    }
    for (const auto& notice : due) {
      for (auto& message : Disseminate(notice, aNow)) {
        out.push_back(std::move(message));
      }
    }
    for (const auto& [owner, runs] : reports_.Due(aNow)) {
      if (owner == id_) {
        continue; // Its counter already contains the runs of this host.
      }
      out.push_back({ owner, { .notices_ = TakeNotices(aNow) } });
      for (const auto& run : runs) {
        out.back().datagram_.lost_.push_back(
          { run.request_, run.run_, aNow - run.began_, aNow - run.ended_,
            run.lastPart_, run.responding_ });
      }
    }
    return out;
  }
  auto OnDatagram(const SuspectDatagram& aDatagram,
                  goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    std::vector<Outgoing> out;
    for (const auto& notice : aDatagram.notices_) {
      if (Merge(notice, aNow)) {
        for (auto& message : Disseminate(
               table_.ClearingIfCompleted(notice.request_, aNow), aNow)) {
          out.push_back(std::move(message));
        }
      }
    }
    for (const auto& lost : aDatagram.lost_) {
      const goldcrestcroft::LostRun run{ .request_ = lost.request_,
                                         .run_ = lost.run_,
                                         .began_ = aNow - lost.beganAgo_,
                                         .ended_ = aNow - lost.endedAgo_,
                                         .lastPart_ = lost.lastPart_,
                                         .responding_ = lost.responding_ };
      reports_.AddReported(run);
      for (auto& message : Disseminate(counter_.OnLost(run, aNow), aNow)) {
        out.push_back(std::move(message));
      }
    }
    return out;
  }

private:
  auto TakeNotices(goldcrestcroft::TimePoint aNow)
    -> std::vector<goldcrestcroft::SuspectNotice>
  {
    constexpr std::size_t kNoticesPerDatagram = 8;
    return table_.TakeNotices(kNoticesPerDatagram, aNow);
  }
  auto Merge(const goldcrestcroft::SuspectNotice& aNotice,
             goldcrestcroft::TimePoint aNow) -> bool
  {
    const auto isNew = table_.Merge(aNotice, aNow);
    if (isNew) {
      counter_.OnNotice(aNotice, aNow);
      if (aNotice.level_ == goldcrestcroft::SuspectLevel::Cleared) {
        reports_.Forget(aNotice.request_);
      }
    }
    return isNew;
  }
  auto Disseminate(const std::optional<goldcrestcroft::SuspectNotice>& aNotice,
                   goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    constexpr std::size_t kFanOut = 3; // As fanOut_ of FailureDetector.
    if (!aNotice || !Merge(*aNotice, aNow)) {
      return {};
    }
    auto last = *aNotice;
    if (const auto clearing =
          table_.ClearingIfCompleted(aNotice->request_, aNow)) {
      Merge(*clearing, aNow);
      last = *clearing;
    }
    std::vector<Outgoing> out;
    if (last.level_ == goldcrestcroft::SuspectLevel::Cleared) {
      for (const auto& owner : reports_.Owners(last.request_)) {
        if (owner != id_) {
          out.push_back({ owner, { .notices_ = { last } } });
        }
      }
    }
    for (std::size_t i = 0; i < kFanOut; ++i) {
      out.push_back({ "", { .notices_ = TakeNotices(aNow) } });
    }
    return out;
  }

  std::string id_;
  goldcrestcroft::SuspectTable table_;
  goldcrestcroft::SuspectCounter counter_;
  goldcrestcroft::LostRunReports reports_;
};

} // namespace testing
