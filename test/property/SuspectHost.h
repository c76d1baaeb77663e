#pragma once

#include <goldcrestcroft/Engines.h>
#include <goldcrestcroft/src/Gateway/RepeatedNews.h>

#include <string>
#include <vector>

namespace testing {

/** \brief What hosts send each other about lost runs. */
struct SuspectDatagram
{
  struct Piece
  {
    std::uint64_t request_ = 0;
    std::uint64_t engine_ = 0;
    bool completed_ = false;

    auto operator<=>(const Piece&) const = default;
  };

  std::vector<Piece> pieces_;
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

  explicit SuspectHost(std::string /*aId*/) {}

  auto SetHosts(const std::vector<std::string>& /*aIds*/) -> void {}
  auto OnLost(const WorldRun& aRun, goldcrestcroft::TimePoint aNow)
    -> std::vector<Outgoing>
  {
    return suspects_.OnCrash(aRun.request_, aRun.engine_, aNow)
             ? Spread({ aRun.request_, aRun.engine_, false }, aNow)
             : std::vector<Outgoing>{};
  }
  auto OnCompleted(std::uint64_t aRequest, goldcrestcroft::TimePoint aNow)
    -> std::vector<Outgoing>
  {
    return suspects_.OnCompleted(aRequest) ? Spread({ aRequest, 0, true }, aNow)
                                           : std::vector<Outgoing>{};
  }
  [[nodiscard]] auto IsHeldBack(std::uint64_t aRequest,
                                goldcrestcroft::TimePoint aNow) const -> bool
  {
    return suspects_.IsHeldBack(aRequest, aNow);
  }
  auto Tick(goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    news_.Expire(aNow);
    return { { "", { news_.Told(aNow) } } };
  }
  auto OnDatagram(const SuspectDatagram& aDatagram,
                  goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    for (const auto& piece : aDatagram.pieces_) {
      if (!news_.Add(piece, aNow)) {
        continue;
      }
      if (piece.completed_) {
        suspects_.OnCompleted(piece.request_);
      } else {
        suspects_.OnCrash(piece.request_, piece.engine_, aNow);
      }
    }
    return {};
  }

private:
  auto Spread(const SuspectDatagram::Piece& aPiece,
              goldcrestcroft::TimePoint aNow) -> std::vector<Outgoing>
  {
    constexpr std::size_t kFanOut = 3; // FailureDetector's fanOut_.
    return news_.Add(aPiece, aNow)
             ? std::vector<Outgoing>(kFanOut, { "", { news_.Told(aNow) } })
             : std::vector<Outgoing>{};
  }

  goldcrestcroft::CrashSuspects suspects_{ { .crashesToHold_ = 3 } };
  goldcrestcroft::RepeatedNews<SuspectDatagram::Piece> news_;
};

} // namespace testing
