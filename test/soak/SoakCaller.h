#pragma once

#include "CallRecord.h"
#include "SoakFleet.h"

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

/** \brief A caller that keeps its connections open until they end, sends one
 * request after the other and checks each answer by itself. */
class SoakCaller
{
public:
  SoakCaller(asio::io_context& aContext, SoakFleet& aFleet,
             const OperatorState& aOperator, std::vector<CallRecord>& aRecords,
             std::uint64_t aSeed);

  /** \brief Calls until Stop. */
  auto Run() -> Task<void>;
  auto Stop() -> void { stops_ = true; }

  static constexpr auto kTimeLeft = std::chrono::milliseconds{ 1500 };

private:
  using HttpCall =
    goldcrestcroft::http::request<goldcrestcroft::http::string_body>;

  auto UseConnection(std::size_t aHost) -> Task<void>;
  auto MakeCall(CallRecord& aRecord) -> HttpCall;
  auto Judge(const goldcrestcroft::http::response<
               goldcrestcroft::http::string_body>& aAnswer,
             const HttpCall& aCall, CallRecord& aRecord) const -> void;
  auto Pick(int aBelow) -> int;

  asio::io_context& context_;
  SoakFleet& fleet_;
  const OperatorState& operator_;
  std::vector<CallRecord>& records_;
  std::mt19937_64 random_;
  std::string name_;
  unsigned calls_ = 0;
  bool stops_ = false;
};

} // namespace soak
