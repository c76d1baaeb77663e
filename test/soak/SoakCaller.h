#pragma once

#include "CallRecord.h"
#include "SoakFleet.h"

#include <optional>
#include <random>

namespace soak {

/** \brief What the operator has changed, as callers know it. */
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

/** \brief What sets callers apart. */
enum class CallerManner
{
  Usual,
  /** Uses a connection until it ends, with pauses about as long as it may be
   * idle. */
  Keeps,
  /** Sends bodies that end engines, each again and again at any host. */
  Poisons,
  /** Calls one host on open and new connections, without a pause, for answers
   * that take from no time to most of what the route allows. */
  Presses
};

/** \brief A caller that keeps its connections open until they end, sends one
 * request after the other and checks each answer by itself. */
class SoakCaller
{
public:
  SoakCaller(asio::io_context& aContext, SoakFleet& aFleet,
             const OperatorState& aOperator, std::vector<CallRecord>& aRecords,
             std::uint64_t aSeed, CallerManner aManner,
             std::optional<std::size_t> aHost = {});

  /** \brief Calls from so much later until Stop. */
  auto Run(Duration aAfter) -> Task<void>;
  auto Stop() -> void { stops_ = true; }
  [[nodiscard]] auto Manner() const -> CallerManner { return manner_; }

private:
  struct Form
  {
    CallKind kind_;
    std::string target_;
    std::string key_;
    TimePoint since_;
    std::string poison_{};
    std::chrono::milliseconds timeLeft_ = kTimeLeft;
  };
  using HttpCall =
    goldcrestcroft::http::request<goldcrestcroft::http::string_body>;

  auto UseConnection(std::size_t aHost) -> Task<void>;
  auto PickForm() -> Form;
  auto PickLong() -> Form;
  auto MakeCall(CallRecord& aRecord) -> HttpCall;
  auto Think() -> std::chrono::milliseconds;
  auto Judge(const goldcrestcroft::http::response<
               goldcrestcroft::http::string_body>& aAnswer,
             const HttpCall& aCall, CallRecord& aRecord) const -> void;
  auto Pick(int aBelow) -> int;

  asio::io_context& context_;
  SoakFleet& fleet_;
  const OperatorState& operator_;
  std::vector<CallRecord>& records_;
  std::mt19937_64 random_;
  CallerManner manner_;
  /** Any other one at a time if none. */
  std::optional<std::size_t> host_;
  std::string name_;
  unsigned calls_ = 0;
  bool stops_ = false;
};

} // namespace soak
