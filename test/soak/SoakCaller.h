#pragma once

#include "CallRecord.h"
#include "SoakFleet.h"

#include <optional>
#include <random>

namespace soak {

/** \brief Configuration changes by the operator, as known to callers. */
struct OperatorState
{
  unsigned version_ = 1;
  std::string route_;
  TimePoint routeSince_;
  std::string key_ = "key1";
  TimePoint keySince_;
  std::string oldKey_;
  TimePoint oldKeySince_;
};

/** \brief Load pattern of a caller. */
enum class CallerProfile
{
  Regular,
  /** Uses a connection until it is closed, with pauses about as long as its
   * idle timeout. */
  LongLived,
  /** Sends poison requests, each repeatedly to any host. */
  SendsPoison,
  /** Sends streams to any host that differ, but all have the same crashing part
   * in their prompt. */
  SendsCrashingPart,
  /** Calls one host without a pause, on open and new connections, for responses
   * that take between no time and most of what the route allows. */
  Saturates
};

/** \brief A caller that sends one request after another on persistent
 * connections and checks each response by itself. */
class SoakCaller
{
public:
  SoakCaller(asio::io_context& aContext, SoakFleet& aFleet,
             const OperatorState& aOperator, std::vector<CallRecord>& aRecords,
             std::uint64_t aSeed, CallerProfile aProfile,
             std::optional<std::size_t> aHost = {});

  /** \brief Sends requests after the delay, until Stop. */
  auto Run(Duration aAfter) -> Task<void>;
  auto Stop() -> void { stopRequested_ = true; }
  [[nodiscard]] auto Profile() const -> CallerProfile { return profile_; }
  /** \brief Whether its requests crash engines. */
  [[nodiscard]] auto CrashesEngines() const -> bool;

private:
  struct CallTemplate
  {
    CallKind kind_;
    std::string target_;
    std::string key_;
    TimePoint since_;
    std::string poison_{};
    std::string crashingPart_{};
    std::chrono::milliseconds timeout_ = kDefaultTimeout;
  };
  using HttpCall =
    goldcrestcroft::http::request<goldcrestcroft::http::string_body>;

  auto UseConnection(std::size_t aHost) -> Task<void>;
  auto PickTemplate() -> CallTemplate;
  auto PickSlowTemplate() -> CallTemplate;
  auto MakeCall(CallRecord& aRecord) -> HttpCall;
  [[nodiscard]] auto PromptOf(const CallTemplate& aTemplate) const
    -> std::string;
  auto PickThinkTime() -> std::chrono::milliseconds;
  auto Validate(const goldcrestcroft::http::response<
                  goldcrestcroft::http::string_body>& aAnswer,
                const HttpCall& aCall, CallRecord& aRecord) const -> void;
  auto Pick(int aBelow) -> int;

  asio::io_context& context_;
  SoakFleet& fleet_;
  const OperatorState& operator_;
  std::vector<CallRecord>& records_;
  std::mt19937_64 random_;
  CallerProfile profile_;
  /** If empty, each connection goes to a random host. */
  std::optional<std::size_t> host_;
  std::string name_;
  unsigned calls_ = 0;
  bool stopRequested_ = false;
};

} // namespace soak
