#pragma once

#include <goldcrestcroft/Engines.h>

#include <optional>
#include <string>
#include <vector>

namespace testing {

/** \brief What hosts send each other about lost runs; times are relative,
 * since hosts share no clock. */
struct SuspectDatagram
{
  struct Lost
  {
    std::uint64_t request_ = 0;
    std::uint64_t run_ = 0;
    goldcrestcroft::Duration beganAgo_{};
    goldcrestcroft::Duration endedAgo_{};
  };

  std::vector<goldcrestcroft::SuspectNotice> notices_;
  std::vector<Lost> lost_;
};

/** \brief A run as the world sees it. */
struct WorldRun
{
  std::uint64_t request_ = 0;
  std::uint64_t run_ = 0;
  /** Tells the start of the engine. */
  std::uint64_t engine_ = 0;
  goldcrestcroft::TimePoint began_;
};

/** \brief A host's knowledge of requests that end engines, as the gateway and
 * the control plane use it. */
class SuspectHost
{
public:
  struct Outgoing
  {
    /** Id of a host; any other one if empty. */
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
    const goldcrestcroft::LostRun lost{ .request_ = aRun.request_,
                                        .run_ = aRun.run_,
                                        .began_ = aRun.began_,
                                        .ended_ = aNow };
    reports_.Add(lost);
    return Spread(counter_.OnLost(lost, aNow), aNow);
  }
  auto OnCompleted(std::uint64_t aRequest, goldcrestcroft::TimePoint aNow)
    -> std::vector<Outgoing>
  {
    return Spread(board_.OnCompleted(aRequest, aNow), aNow);
  }
  [[nodiscard]] auto IsHeldBack(std::uint64_t aRequest,
                                goldcrestcroft::TimePoint aNow) const -> bool
  {
    return board_.LevelOf(aRequest, aNow) ==
           goldcrestcroft::SuspectLevel::HeldBack;
  }
  auto Tick(goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    board_.Expire(aNow);
    counter_.Expire(aNow);
    std::vector<Outgoing> out{ { "", { .notices_ = Told(aNow) } } };
    auto due = counter_.Due(aNow);
    for (const auto& notice : counter_.Recounted(aNow)) {
      due.push_back(notice);
    }
    for (const auto& notice : due) {
      for (auto& message : Spread(notice, aNow)) {
        out.push_back(std::move(message));
      }
    }
    for (const auto& [keeper, runs] : reports_.Due(aNow)) {
      if (keeper == id_) {
        continue; // Its own counter knows its own runs.
      }
      out.push_back({ keeper, { .notices_ = Told(aNow) } });
      for (const auto& run : runs) {
        out.back().datagram_.lost_.push_back(
          { run.request_, run.run_, aNow - run.began_, aNow - run.ended_ });
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
        for (auto& message :
             Spread(board_.Recall(notice.request_, aNow), aNow)) {
          out.push_back(std::move(message));
        }
      }
    }
    for (const auto& lost : aDatagram.lost_) {
      const auto notice = counter_.OnLost({ .request_ = lost.request_,
                                            .run_ = lost.run_,
                                            .began_ = aNow - lost.beganAgo_,
                                            .ended_ = aNow - lost.endedAgo_ },
                                          aNow);
      for (auto& message : Spread(notice, aNow)) {
        out.push_back(std::move(message));
      }
    }
    return out;
  }

private:
  auto Told(goldcrestcroft::TimePoint aNow)
    -> std::vector<goldcrestcroft::SuspectNotice>
  {
    constexpr std::size_t kNoticesPerDatagram = 8;
    return board_.Tell(kNoticesPerDatagram, aNow);
  }
  auto Merge(const goldcrestcroft::SuspectNotice& aNotice,
             goldcrestcroft::TimePoint aNow) -> bool
  {
    const auto isNew = board_.Merge(aNotice, aNow);
    if (isNew) {
      counter_.OnNotice(aNotice, aNow);
      if (aNotice.level_ == goldcrestcroft::SuspectLevel::Cleared) {
        reports_.Forget(aNotice.request_);
      }
    }
    return isNew;
  }
  auto Spread(const std::optional<goldcrestcroft::SuspectNotice>& aNotice,
              goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    constexpr std::size_t kFanOut = 3; // FailureDetector's fanOut_.
    if (!aNotice || !Merge(*aNotice, aNow)) {
      return {};
    }
    auto last = *aNotice;
    if (const auto clearing = board_.Recall(aNotice->request_, aNow)) {
      Merge(*clearing, aNow);
      last = *clearing;
    }
    std::vector<Outgoing> out;
    if (last.level_ == goldcrestcroft::SuspectLevel::Cleared) {
      for (const auto& keeper : reports_.Keepers(last.request_)) {
        if (keeper != id_) {
          out.push_back({ keeper, { .notices_ = { last } } });
        }
      }
    }
    for (std::size_t i = 0; i < kFanOut; ++i) {
      out.push_back({ "", { .notices_ = Told(aNow) } });
    }
    return out;
  }

  std::string id_;
  goldcrestcroft::SuspectBoard board_;
  goldcrestcroft::SuspectCounter counter_;
  goldcrestcroft::LostRunReports reports_;
};

} // namespace testing
