#include "EngineStandin.h"

#include "RequestIdMark.h"

#include <nlohmann/json.hpp>

namespace standins {

using namespace goldcrestcroft;
using nlohmann::json;

namespace {

constexpr auto kRequestId = "Goldcrestcroft-Request-Id";
constexpr auto kSignature = "Goldcrestcroft-Server-Seal";
constexpr auto kNotRun = "Goldcrestcroft-Not-Executed";
/** Number of events in each stream. */
constexpr auto kEvents = 6;

auto Header(const Request& aRequest, const char* aName) -> std::string
{
  return std::string(aRequest[aName]);
}

/** Duration that the target requests with "take_ms=N"; 0 if absent. */
auto RequestedDuration(const std::string& aTarget) -> std::chrono::milliseconds
{
  const std::string name = "take_ms=";
  const auto at = aTarget.find(name);
  return std::chrono::milliseconds{
    at == std::string::npos ? 0 : std::stoi(aTarget.substr(at + name.size()))
  };
}

/** Events after the last one that the caller has received. */
auto Events(const std::string& aLastId, const std::string& aId)
  -> std::vector<std::string>
{
  std::vector<std::string> events;
  for (auto i = aLastId.empty() ? 1 : std::stoi(aLastId) + 1; i <= kEvents;
       ++i) {
    events.push_back("id: " + std::to_string(i) + "\ndata: " + aId + "\n\n");
  }
  return events;
}

} // namespace

EngineStandin::EngineStandin(asio::io_context& aContext,
                             const std::string& aAddress, std::string aId,
                             const std::string& aAdvertised)
  : context_(aContext)
  , advertised_(aAdvertised.empty() ? aAddress : aAdvertised)
  , id_(std::move(aId))
  , server_(
      aContext, aAddress,
      [this](Request aRequest) -> Task<ResponsePlan> {
        co_return Handle(aRequest);
      },
      [this](const Request& aHead) { return HandleHead(aHead); })
{
  Restart();
}

auto EngineStandin::Restart() -> void
{
  using std::chrono::system_clock;
  const auto now = system_clock::now().time_since_epoch();
  const std::lock_guard lock(mutex_);
  incarnation_ = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  sequence_ = 0;
  results_.clear();
}

auto EngineStandin::Entry(const std::string& aService,
                          const std::string& aState) -> std::string
{
  const std::lock_guard lock(mutex_);
  state_ = aState.empty() ? state_ : aState;
  json entry{ { "service", aService },    { "address", advertised_ },
              { "zone", "z1" },           { "slots", 8 },
              { "state", state_ },        { "born", incarnation_ },
              { "sequence", ++sequence_ } };
  if (!version_.empty()) {
    entry["version"] = version_;
  }
  return entry.dump();
}

auto EngineStandin::Runs() -> std::map<std::string, int>
{
  const std::lock_guard lock(mutex_);
  return runs_;
}

auto EngineStandin::Arrivals() -> std::vector<Arrival>
{
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

auto EngineStandin::ReceivedAt() -> std::vector<TimePoint>
{
  const std::lock_guard lock(mutex_);
  return receivedAt_;
}

auto EngineStandin::LastHeader(const std::string& aName) -> std::string
{
  const std::lock_guard lock(mutex_);
  return std::string(lastHeaders_[aName]);
}

auto EngineStandin::PiecesRun() -> std::size_t
{
  const std::lock_guard lock(mutex_);
  return pieces_;
}

auto EngineStandin::CallsRun() -> std::size_t
{
  const std::lock_guard lock(mutex_);
  return calls_;
}

auto EngineStandin::ResultsHeld() -> std::size_t
{
  const std::lock_guard lock(mutex_);
  return results_.size();
}

auto EngineStandin::ProducedFor(const std::string& aHandle) -> std::string
{
  const std::lock_guard lock(mutex_);
  const auto found = producedFor_.find(aHandle);
  return found == producedFor_.end() ? "" : found->second;
}

auto EngineStandin::Handle(const Request& aRequest) -> ResponsePlan
{
  ++receivedCount_;
  healthCheckCount_ += aRequest.target() == kHealthPath ? 1 : 0;
  {
    const std::lock_guard lock(mutex_);
    receivedAt_.push_back(SuspendAwareClock{}.Now());
  }
  auto reaction = PlanResponse(aRequest);
  if (reaction.status_ == 200 && aRequest.target() != kHealthPath) {
    const std::lock_guard lock(mutex_);
    reaction.endless_ = endless_;
    if (unframed_ && !reaction.truncates_ &&
        !Header(aRequest, kRequestId).empty()) {
      reaction.unframed_ = PlanUnframed(reaction);
    }
    if (rawBytes_ && !reaction.raw_) {
      reaction.raw_ = WithId(*rawBytes_, Header(aRequest, kRequestId));
      reaction.rawEnd_ = rawEnd_;
      reaction.rawPause_ = rawPause_;
    }
  }
  if (leaving_) {
    // The host must accept both spellings of the header.
    reaction.headers_.emplace_back(receivedCount_ % 2 == 0
                                     ? "Goldcrestcroft-Server-Leaving"
                                     : "Server-Leaving",
                                   "1");
  }
  if (limit_ >= 0.0) {
    reaction.headers_.emplace_back(
      receivedCount_ % 2 == 0 ? "Goldcrestcroft-Server-Limit" : "Server-Limit",
      std::to_string(limit_));
  }
  if (reaction.status_ == 503 && retryAfterS_ > 0) {
    reaction.headers_.emplace_back("Retry-After", std::to_string(retryAfterS_));
  }
  return reaction;
}

auto EngineStandin::PlanResponse(const Request& aRequest) -> ResponsePlan
{
  const std::lock_guard lock(mutex_);
  const auto expected = Header(aRequest, "Goldcrestcroft-Expect-Instance");
  if (!expected.empty() && expected != id_) {
    return { .status_ = 421,
             .headers_ = { { "Goldcrestcroft-Instance-Id", id_ },
                           { kRequestId, Header(aRequest, kRequestId) } } };
  }
  const std::string target(aRequest.target());
  if (target == kHealthPath) {
    return { .headers_ = { { "Goldcrestcroft-Instance-Id", id_ } },
             .drops_ = trouble_ == Trouble::Drops };
  }
  if (target == "/stage-run") {
    return RunPieces(aRequest);
  }
  if (target == "/stage-free") {
    return Release(aRequest);
  }
  const auto id = Header(aRequest, kRequestId);
  const auto trouble = trouble_.load();
  arrivals_.push_back({ .requestId_ = id,
                        .workspace_ = Header(aRequest, "Goldcrestcroft-Tenant"),
                        .at_ = SuspendAwareClock{}.Now(),
                        .ran_ = trouble != Trouble::Full && !inputsLost_ });
  ResponsePlan reaction{ .headers_ = { { kRequestId, id },
                                       { "Goldcrestcroft-Server-Load",
                                         "1,0,8" } },
                         .delay_ = std::chrono::milliseconds{ delayMs_ },
                         .duplicatesLast_ = trouble == Trouble::Duplicates,
                         .duplicateHasId_ = duplicateHasId_ };
  if (trouble == Trouble::Full || inputsLost_) {
    reaction.status_ = inputsLost_ ? 409 : 503;
    reaction.headers_.emplace_back(kNotRun, "1");
    return reaction;
  }
  ++runs_[id];
  if (!resumedBytes_.empty() && !Header(aRequest, "Last-Event-Id").empty()) {
    ++resumed_;
    reaction.raw_ = WithId(resumedBytes_, id);
    return reaction;
  }
  if (trouble != Trouble::Fails && TriggersCrash(aRequest)) {
    BeginCrash(id);
    // The connection is closed before this delay has passed.
    reaction.delay_ = crashPlan_.after_ + 2 * crashPlan_.downFor_;
  }
  lastHeaders_ = aRequest.base();
  if (trouble != Trouble::Unsigned) {
    reaction.headers_.emplace_back(kSignature, "signed-by-" + id_);
  }
  reaction.status_ = trouble == Trouble::Fails ? 500 : 200;
  reaction.drops_ = trouble == Trouble::Drops;
  reaction.truncates_ = trouble == Trouble::Truncates;
  reaction.body_ =
    "answer to " + id + " " + aRequest.body() + std::string(padding_, 'x');
  if (trouble == Trouble::Stray) {
    reaction.strayId_ = "another";
  }
  reaction.onDone_ = [this, arrival = arrivals_.size() - 1] {
    const std::lock_guard lock(mutex_);
    arrivals_[arrival].doneAt_ = SuspendAwareClock{}.Now();
  };
  const auto duration = RequestedDuration(target);
  if (target.find("/stream/") != std::string::npos &&
      trouble != Trouble::Fails) {
    reaction.headers_.emplace_back("Content-Type", "text/event-stream");
    const auto lastId = Header(aRequest, "Last-Event-Id");
    reaction.chunks_ =
      Events(lastId, version_.empty() ? id : version_ + " " + id);
    reaction.truncates_ |= breaksNewStreams_ && lastId.empty();
    if (splitsEvents_ && reaction.chunks_.size() > 2) {
      auto& second = reaction.chunks_[1];
      auto& third = reaction.chunks_[2];
      constexpr std::size_t kPart = 4;
      second += third.substr(0, kPart);
      third.erase(0, kPart);
    }
    reaction.pause_ =
      std::max(std::chrono::milliseconds{ pauseMs_ }, duration / kEvents);
    reaction.stall_ =
      stallMs_ < 0 ? reaction.pause_ : std::chrono::milliseconds{ stallMs_ };
    if (reaction.truncates_) {
      reaction.chunks_.resize(2);
      reaction.chunks_.push_back("id: 3\nda");
    }
  } else {
    reaction.delay_ += duration;
  }
  return reaction;
}

} // namespace standins
