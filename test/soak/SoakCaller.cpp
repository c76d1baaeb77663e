#include "SoakCaller.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <array>

namespace soak {

using namespace goldcrestcroft;

namespace {

constexpr auto kConnectTime = std::chrono::milliseconds{ 1000 };
/** Longer than the rules give a host after a deadline, to see what it does. */
constexpr auto kPatience = std::chrono::milliseconds{ 5000 };
constexpr auto kBackOff = std::chrono::milliseconds{ 50 };
constexpr int kThinkMs = 60;
/** Pauses of callers that keep connections, and between poisons. */
constexpr int kLongThinkMs = 2000;
constexpr int kLongThinkPercent = 5;
constexpr int kPoisons = 3;
constexpr int kMostCallsOfConnection = 40;
constexpr int kEvents = 6;
constexpr int kPercent = 100;
constexpr int kGiveUpPercent = 2;
/** What long answers take at most, and what the route allows. */
constexpr int kLongestMs = 2500;
constexpr std::chrono::milliseconds kRouteTime{ 3000 };
/** Beyond what the answer takes, for the way to it. */
constexpr int kSpareMs = 500;
/** Callers of one host use a connection for as many requests at most. */
constexpr int kMostPressed = 8;

auto IsWholeStream(const std::string& aBody, const std::string& aId) -> bool
{
  std::string expected;
  for (auto i = 1; i <= kEvents; ++i) {
    expected += "id: " + std::to_string(i) + "\ndata: " + aId + "\n\n";
  }
  return aBody == expected;
}

} // namespace

SoakCaller::SoakCaller(asio::io_context& aContext, SoakFleet& aFleet,
                       const OperatorState& aOperator,
                       std::vector<CallRecord>& aRecords, std::uint64_t aSeed,
                       CallerManner aManner, std::optional<std::size_t> aHost)
  : context_(aContext)
  , fleet_(aFleet)
  , operator_(aOperator)
  , records_(aRecords)
  , random_(aSeed)
  , manner_(aManner)
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
  while (!stops_) {
    const auto hosts = static_cast<int>(fleet_.Hosts().size());
    co_await UseConnection(
      host_.value_or(static_cast<std::size_t>(Pick(hosts))));
    const auto pause = manner_ == CallerManner::Poisons ? Think() : kBackOff;
    co_await Sleep(context_, pause);
  }
}

auto SoakCaller::Think() -> std::chrono::milliseconds
{
  if (manner_ == CallerManner::Presses) {
    return {};
  }
  const auto isLong =
    manner_ == CallerManner::Poisons ||
    (manner_ == CallerManner::Keeps && Pick(kPercent) < kLongThinkPercent);
  return std::chrono::milliseconds{ Pick(isLong ? kLongThinkMs : kThinkMs) };
}

auto SoakCaller::PickLong() -> Form
{
  constexpr std::array kForms = { std::pair{ CallKind::Safe, "/safe/x" },
                                  std::pair{ CallKind::Unsafe, "/unsafe/x" },
                                  std::pair{ CallKind::Stream, "/stream/x" } };
  const auto& [kind, target] =
    kForms.at(static_cast<std::size_t>(Pick(static_cast<int>(kForms.size()))));
  const auto takes = Pick(2) * Pick(kLongestMs);
  const auto waits =
    Pick(2) == 0 ? kRouteTime : std::chrono::milliseconds{ takes + kSpareMs };
  return { .kind_ = kind,
           .target_ = target + ("?take_ms=" + std::to_string(takes)),
           .key_ = "key1",
           .since_ = {},
           .timeLeft_ = waits };
}

auto SoakCaller::PickForm() -> Form
{
  if (manner_ == CallerManner::Presses) {
    return PickLong();
  }
  if (manner_ == CallerManner::Poisons) {
    // One of them may be sent twice for a copy.
    const auto which = Pick(kPoisons);
    return { .kind_ = CallKind::Poison,
             .target_ = which == 0 ? "/safe/x" : "/unsafe/x",
             .key_ = "key1",
             .since_ = {},
             .poison_ = SoakFleet::kPoisonMarker + std::to_string(which) };
  }
  std::vector<Form> forms;
  for (auto i = 0; i < 4; ++i) {
    forms.push_back({ CallKind::Safe, "/safe/x", "key1", {} });
    forms.push_back({ CallKind::Unsafe, "/unsafe/x", "key1", {} });
    forms.push_back({ CallKind::Stream, "/stream/x", "key1", {} });
  }
  const auto& now = operator_;
  if (!now.route_.empty()) {
    forms.push_back(
      { CallKind::NewRoute, now.route_ + "x", "key1", now.routeSince_ });
  }
  forms.push_back({ CallKind::NewKey, "/safe/x", now.key_, now.keySince_ });
  if (!now.oldKey_.empty()) {
    forms.push_back(
      { CallKind::OldKey, "/safe/x", now.oldKey_, now.oldKeySince_ });
  }
  return forms[static_cast<std::size_t>(Pick(static_cast<int>(forms.size())))];
}

auto SoakCaller::MakeCall(CallRecord& aRecord) -> HttpCall
{
  const auto form = PickForm();
  aRecord.id_ = name_ + "-" + std::to_string(++calls_);
  aRecord.kind_ = form.kind_;
  aRecord.changedAt_ = form.since_;
  aRecord.poison_ = form.poison_;
  aRecord.timeLeft_ = form.timeLeft_;
  const auto isPoison = !form.poison_.empty();
  const auto posts = form.kind_ == CallKind::Unsafe || isPoison;
  HttpCall call(posts ? http::verb::post : http::verb::get, form.target_, 11);
  call.set("Host", "try.example");
  call.set("X-Api-Key", form.key_);
  call.set("Goldcrestcroft-Request-Id", aRecord.id_);
  call.set("Goldcrestcroft-Deadline-Ms",
           std::to_string(form.timeLeft_.count()));
  call.set("Goldcrestcroft-Pieces", "2,3");
  call.set("Goldcrestcroft-Piece-Key", aRecord.id_);
  call.body() = isPoison ? form.poison_ : posts ? "body of " + aRecord.id_ : "";
  call.prepare_payload();
  return call;
}

auto SoakCaller::Judge(const http::response<http::string_body>& aAnswer,
                       const HttpCall& aCall, CallRecord& aRecord) const -> void
{
  const auto isSigned = aAnswer.count("Goldcrestcroft-Server-Seal") > 0;
  const auto status = aAnswer.result_int();
  if (isSigned && status != 200 && status != 500) {
    aRecord.problem_ = "a signed answer has another status than the engine's";
  }
  if (!aRecord.IsServed()) {
    return;
  }
  const auto expected = "answer to " + aRecord.id_ + " " + aCall.body();
  const auto same = aRecord.kind_ == CallKind::Stream
                      ? IsWholeStream(aAnswer.body(), aRecord.id_)
                      : aAnswer.body() == expected;
  if (!isSigned) {
    aRecord.problem_ = "a success without the engine's signature";
  } else if (!same) {
    aRecord.problem_ = "a success with another body: " + aAnswer.body();
  }
}

auto SoakCaller::UseConnection(std::size_t aHost) -> Task<void>
{
  const SuspendAwareClock clock;
  beast::tcp_stream stream(context_);
  stream.expires_after(kConnectTime);
  const auto address = ParseTcpEndpoint(fleet_.CallerAddress(aHost));
  const auto [connectError] = co_await stream.async_connect(address, kAsTuple);
  if (connectError) {
    co_return;
  }
  beast::flat_buffer buffer;
  auto left = manner_ == CallerManner::Poisons   ? 1
              : manner_ == CallerManner::Presses ? 1 + Pick(kMostPressed)
                                                 : kMostCallsOfConnection;
  while (!stops_ && (left-- > 0 || manner_ == CallerManner::Keeps)) {
    CallRecord record{ .host_ = aHost, .life_ = fleet_.Hosts()[aHost].life_ };
    const auto call = MakeCall(record);
    record.gaveUp_ = Pick(kPercent) < kGiveUpPercent;
    const auto patience = record.gaveUp_
                            ? std::chrono::milliseconds{ 1 + Pick(kThinkMs) }
                            : kPatience;
    stream.expires_after(patience);
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
    record.whole_ = !error && parser.is_done();
    record.gaveUp_ = record.gaveUp_ && error == beast::error::timeout;
    const auto keeps = record.whole_ && parser.get().keep_alive();
    if (record.status_ != 0) {
      Judge(parser.get(), call, record);
    }
    records_.push_back(std::move(record));
    if (!keeps) {
      co_return;
    }
    const auto pause = Think();
    co_await Sleep(context_, pause);
  }
}

} // namespace soak
