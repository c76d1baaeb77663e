#pragma once

#include "../soak/SoakChecker.h"

namespace testing {

using namespace goldcrestcroft;
using namespace soak;
using namespace std::chrono_literals;

inline const TimePoint kStart{ 100s };

/** Builds the evidence of a run from requests and their arrivals. */
struct SoakWorld
{
  std::vector<CallRecord> calls_;
  FaultLog faultLog_;
  std::vector<DrainRecord> drains_;
  std::vector<standins::EngineStandin::Arrival> arrivals_;
  std::vector<standins::EngineStandin::End> crashes_;
  std::vector<TimePoint> changes_;
  std::vector<LimitRecord> limits_;
  std::size_t hosts_ = 1;

  auto Call(CallKind aKind, int aStatus, Duration aSentAfter = {},
            Duration aTook = 10ms) -> CallRecord&
  {
    const auto sent = kStart + aSentAfter;
    calls_.push_back({ .id_ = "r" + std::to_string(calls_.size()),
                       .kind_ = aKind,
                       .changedAt_ = kStart,
                       .sentAt_ = sent,
                       .endedAt_ = sent + aTook,
                       .status_ = aStatus,
                       .complete_ = aStatus != 0 });
    return calls_.back();
  }
  auto Arrive(const CallRecord& aCall) -> void
  {
    arrivals_.push_back({ .requestId_ = aCall.id_,
                          .workspace_ = "w1",
                          .at_ = aCall.sentAt_ + 1ms });
  }
  /** A poison request that reaches the engine and may crash it. */
  auto SendPoison(Duration aSentAfter, bool aCrashes) -> void
  {
    auto& call = Call(CallKind::Poison, 502, aSentAfter);
    call.poison_ = "p";
    Arrive(call);
    if (aCrashes) {
      crashes_.push_back({ .requestIds_ = { call.id_ }, .at_ = call.endedAt_ });
    }
  }
  /** A request with a crashing part that reaches the engine and may crash it.
   */
  auto SendCrashingPart(Duration aSentAfter, bool aCrashes) -> void
  {
    SendPoison(aSentAfter, aCrashes);
    calls_.back().kind_ = CallKind::CrashingPart;
    calls_.back().poison_.clear();
    calls_.back().crashingPart_ = "ad99";
  }
  [[nodiscard]] auto ViolatedRule() const -> std::string
  {
    const auto lines = FindViolations({ .calls_ = calls_,
                                        .faultLog_ = faultLog_,
                                        .drains_ = drains_,
                                        .arrivals_ = { { "e", arrivals_ } },
                                        .serviceOfEngine_ = { { "e", "desk" } },
                                        .crashes_ = { { "e", crashes_ } },
                                        .changes_ = changes_,
                                        .limits_ = limits_,
                                        .hosts_ = hosts_ });
    return lines.empty() ? "" : lines[0].substr(0, lines[0].find(':'));
  }
};

} // namespace testing
