#include "SoakCaller.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>
#include <array>

namespace soak {

using namespace goldcrestcroft;

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds{ 1000 };
/** Exceeds the time that the rules allow a host after a deadline, so that late
 * responses are observed. */
constexpr auto kCallTimeout = std::chrono::milliseconds{ 5000 };
constexpr auto kBackOff = std::chrono::milliseconds{ 50 };
constexpr int kThinkMs = 60;
/** Maximum of the long pauses of long-lived callers and between poison
 * requests. */
constexpr int kLongThinkMs = 2000;
constexpr int kLongThinkPercent = 5;
constexpr int kPoisonBodies = 3;
/** Number of sessions, each with a part of the prompt that its requests share.
 */
constexpr unsigned kSessions = 20;
constexpr int kMaxCallsOfConnection = 40;
constexpr int kEvents = 6;
constexpr int kPercent = 100;
constexpr int kAbandonPercent = 2;
/** Maximum duration of slow responses, and the time that the route allows. */
constexpr int kMaxResponseMs = 2500;
constexpr std::chrono::milliseconds kRouteTimeout{ 3000 };
/** Added to the duration of a response to get its timeout, for the overhead on
 * the way. */
constexpr int kTimeoutMarginMs = 500;
/** Maximum number of requests on one connection of a saturating caller. */
constexpr int kMaxSaturatingCalls = 8;

auto IsCompleteStream(const std::string& aBody, const std::string& aData)
  -> bool
{
  std::string expected;
  for (auto i = 1; i <= kEvents; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: " + aData + "\n\n";
  }
  return aBody == expected;
}

/** Whether it is a complete stream, of engines without a version or with one.
 */
auto IsCompleteStreamOf(const std::string& aBody, const std::string& aId)
  -> bool
{
  const auto& versions = SoakFleet::kVersions;
  return IsCompleteStream(aBody, aId) ||
         std::any_of(versions.begin(), versions.end(),
                     [&](const std::string& aVersion) {
                       return IsCompleteStream(aBody, aVersion + " " + aId);
                     });
}

} // namespace

SoakCaller::SoakCaller(asio::io_context& aContext, SoakFleet& aFleet,
                       const OperatorState& aOperator,
                       std::vector<CallRecord>& aRecords, std::uint64_t aSeed,
                       CallerProfile aProfile, std::optional<std::size_t> aHost)
  : context_(aContext)
  , fleet_(aFleet)
  , operator_(aOperator)
  , records_(aRecords)
  , random_(aSeed)
  , profile_(aProfile)
  , host_(aHost)
  , name_("caller-" + std::to_string(aSeed))
{
}

auto SoakCaller::Pick(int aBelow) -> int
{
  return std::uniform_int_distribution<int>(0, aBelow - 1)(random_);
}

auto SoakCaller::Run(Duration aAfter) -> Task<void>
{
  co_await Sleep(context_, aAfter);
  while (!stopRequested_) {
    const auto hosts = static_cast<int>(fleet_.Hosts().size());
    co_await UseConnection(
      host_.value_or(static_cast<std::size_t>(Pick(hosts))));
    const auto pause = CrashesEngines() ? PickThinkTime() : kBackOff;
    co_await Sleep(context_, pause);
  }
}

auto SoakCaller::PickThinkTime() -> std::chrono::milliseconds
{
  if (profile_ == CallerProfile::Saturates) {
    return {};
  }
  const auto isLong =
    CrashesEngines() || (profile_ == CallerProfile::LongLived &&
                         Pick(kPercent) < kLongThinkPercent);
  return std::chrono::milliseconds{ Pick(isLong ? kLongThinkMs : kThinkMs) };
}

auto SoakCaller::PickSlowTemplate() -> CallTemplate
{
  constexpr std::array kForms = { std::pair{ CallKind::Safe, "/safe/x" },
                                  std::pair{ CallKind::Unsafe, "/unsafe/x" },
                                  std::pair{ CallKind::Stream, "/stream/x" } };
  const auto& [kind, target] =
    kForms.at(static_cast<std::size_t>(Pick(static_cast<int>(kForms.size()))));
  const auto takes = Pick(2) * Pick(kMaxResponseMs);
  const auto waits = Pick(2) == 0
                       ? kRouteTimeout
                       : std::chrono::milliseconds{ takes + kTimeoutMarginMs };
  return { .kind_ = kind,
           .target_ = target + ("?take_ms=" + std::to_string(takes)),
           .key_ = "key1",
           .since_ = {},
           .timeout_ = waits };
}

auto SoakCaller::PickTemplate() -> CallTemplate
{
  if (profile_ == CallerProfile::Saturates) {
    return PickSlowTemplate();
  }
  if (profile_ == CallerProfile::SendsPoison) {
    // One body goes to an idempotent route, so each request with it may be sent
    // to engines twice.
    const auto which = Pick(kPoisonBodies);
    return { .kind_ = CallKind::Poison,
             .target_ = which == 0 ? "/safe/x" : "/unsafe/x",
             .key_ = "key1",
             .since_ = {},
             .poison_ = SoakFleet::kPoisonMarker + std::to_string(which) };
  }
  if (profile_ == CallerProfile::SendsCrashingPart) {
    return { .kind_ = CallKind::CrashingPart,
             .target_ = "/once/stream/x",
             .key_ = "key1",
             .since_ = {},
             .crashingPart_ = SoakFleet::kCrashingPart };
  }
  std::vector<CallTemplate> templates;
  for (auto i = 0; i < 4; ++i) {
    templates.push_back({ CallKind::Safe, "/safe/x", "key1", {} });
    templates.push_back({ CallKind::Unsafe, "/unsafe/x", "key1", {} });
    templates.push_back({ CallKind::Stream, "/stream/x", "key1", {} });
  }
  const auto& now = operator_;
  if (!now.route_.empty()) {
    templates.push_back(
      { CallKind::NewRoute, now.route_ + "x", "key1", now.routeSince_ });
  }
  templates.push_back({ CallKind::NewKey, "/safe/x", now.key_, now.keySince_ });
  if (!now.oldKey_.empty()) {
    templates.push_back(
      { CallKind::OldKey, "/safe/x", now.oldKey_, now.oldKeySince_ });
  }
  return templates[static_cast<std::size_t>(
    Pick(static_cast<int>(templates.size())))];
}

auto SoakCaller::CrashesEngines() const -> bool
{
  return profile_ == CallerProfile::SendsPoison ||
         profile_ == CallerProfile::SendsCrashingPart;
}

auto SoakCaller::PromptOf(const CallTemplate& aTemplate) const -> std::string
{
  std::string prompt = SoakFleet::kFirstPart + std::string(":800,");
  prompt += aTemplate.crashingPart_.empty()
              ? "5e55" + std::to_string(calls_ % kSessions)
              : aTemplate.crashingPart_;
  return prompt + ":410," + std::to_string(calls_) + ":250";
}

auto SoakCaller::MakeCall(CallRecord& aRecord) -> HttpCall
{
  const auto chosen = PickTemplate();
  aRecord.id_ = name_ + "-" + std::to_string(++calls_);
  aRecord.kind_ = chosen.kind_;
  aRecord.changedAt_ = chosen.since_;
  aRecord.poison_ = chosen.poison_;
  aRecord.crashingPart_ = chosen.crashingPart_;
  aRecord.timeout_ = chosen.timeout_;
  const auto isPoison = !chosen.poison_.empty();
  const auto posts = chosen.kind_ == CallKind::Unsafe || isPoison ||
                     chosen.kind_ == CallKind::CrashingPart;
  HttpCall call(posts ? http::verb::post : http::verb::get, chosen.target_, 11);
  call.set("Host", "try.example");
  call.set("X-Api-Key", chosen.key_);
  call.set("Goldcrestcroft-Request-Id", aRecord.id_);
  call.set("Goldcrestcroft-Deadline-Ms",
           std::to_string(chosen.timeout_.count()));
  call.set("Goldcrestcroft-Pieces", "2,3");
  call.set("Goldcrestcroft-Piece-Key", aRecord.id_);
  if (chosen.kind_ == CallKind::Stream ||
      chosen.kind_ == CallKind::CrashingPart) {
    call.set("Goldcrestcroft-Prefix-Hash", PromptOf(chosen));
  }
  call.body() = isPoison ? chosen.poison_
                : posts  ? "body of " + aRecord.id_
                         : "";
  call.prepare_payload();
  return call;
}

auto SoakCaller::Validate(const http::response<http::string_body>& aAnswer,
                          const HttpCall& aCall, CallRecord& aRecord) const
  -> void
{
  const auto isSigned = aAnswer.count("Goldcrestcroft-Server-Seal") > 0;
  const auto status = aAnswer.result_int();
  if (isSigned && status != 200 && status != 500) {
    aRecord.violation_ = "a signed answer has another status than the engine's";
  }
  if (!aRecord.IsServed()) {
    return;
  }
  const auto expected = "answer to " + aRecord.id_ + " " + aCall.body();
  const auto same =
    aRecord.kind_ == CallKind::Stream || aRecord.kind_ == CallKind::CrashingPart
      ? IsCompleteStreamOf(aAnswer.body(), aRecord.id_)
      : aAnswer.body() == expected;
  if (!isSigned) {
    aRecord.violation_ = "a success without the engine's signature";
  } else if (!same) {
    aRecord.violation_ = "a success with another body: " + aAnswer.body();
  }
}

auto SoakCaller::UseConnection(std::size_t aHost) -> Task<void>
{
  const SuspendAwareClock clock;
  beast::tcp_stream stream(context_);
  stream.expires_after(kConnectTimeout);
  const auto address = ParseTcpEndpoint(fleet_.CallerAddress(aHost));
  const auto [connectError] = co_await stream.async_connect(address, kAsTuple);
  if (connectError) {
    co_return;
  }
  beast::flat_buffer buffer;
  auto left = CrashesEngines() ? 1
              : profile_ == CallerProfile::Saturates
                ? 1 + Pick(kMaxSaturatingCalls)
                : kMaxCallsOfConnection;
  while (!stopRequested_ &&
         (left-- > 0 || profile_ == CallerProfile::LongLived)) {
    CallRecord record{ .host_ = aHost,
                       .incarnation_ = fleet_.Hosts()[aHost].incarnation_ };
    const auto call = MakeCall(record);
    record.abandoned_ = Pick(kPercent) < kAbandonPercent;
    const auto maxWait = record.abandoned_
                           ? std::chrono::milliseconds{ 1 + Pick(kThinkMs) }
                           : kCallTimeout;
    stream.expires_after(maxWait);
    record.sentAt_ = clock.Now();
    co_await http::async_write(stream, call, kAsTuple);
    http::response_parser<http::string_body> parser;
    auto [error, size] =
      co_await http::async_read_header(stream, buffer, parser, kAsTuple);
    if (!error) {
      record.status_ = static_cast<int>(parser.get().result_int());
      std::tie(error, size) =
        co_await http::async_read(stream, buffer, parser, kAsTuple);
    }
    record.endedAt_ = clock.Now();
    record.complete_ = !error && parser.is_done();
    record.abandoned_ = record.abandoned_ && error == beast::error::timeout;
    const auto keeps = record.complete_ && parser.get().keep_alive();
    if (record.status_ != 0) {
      Validate(parser.get(), call, record);
    }
    records_.push_back(std::move(record));
    if (!keeps) {
      co_return;
    }
    const auto pause = PickThinkTime();
    co_await Sleep(context_, pause);
  }
}

} // namespace soak
