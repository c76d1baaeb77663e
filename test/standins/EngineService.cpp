#include "Service.h"
#include "TextModel.h"

#include <goldcrestcroft/Core.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <list>
#include <vector>

namespace standins {

namespace {

using nlohmann::json;

constexpr std::size_t kCachedPrefixes = 64;
constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kPrefillBytesPerStep = 2048;
constexpr std::size_t kLoadLagSteps = 64;

/** \brief A stream that is in the batch or queued for it. */
struct Stream
{
  std::shared_ptr<CallerResponseWriter> reply_;
  std::vector<std::string> tokens_;
  std::size_t next_ = 0;
  std::size_t prefillSteps_ = 0;
  bool borrowed_ = false;
  bool truncate_ = false;
};

auto Chunk(const std::string& aText, bool aLast) -> std::string
{
  json choice{ { "text", aText } };
  choice["finish_reason"] = aLast ? json("stop") : json(nullptr);
  return "data: " + json{ { "choices", json::array({ choice }) } }.dump() +
         "\n\n";
}

/** \brief A model engine with continuous batching: each step produces one
 * token for every stream in the batch. Streams of the engine's own pool are
 * scheduled before borrowed ones. */
class EngineStandin : public Service
{
public:
  explicit EngineStandin(ServiceOptions aOptions)
    : options_(aOptions)
  {
    if (options_.workMicroseconds_ > 0) {
      stepThread_ =
        std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
    }
  }

  auto OnRequest(const StandinRequest& aRequest, CallerResponseWriter aReply,
                 const Faults& aFaults) -> void override
  {
    const auto body = json::parse(aRequest.body_, nullptr, false);
    if (aRequest.path_ == "/v1/role") {
      OnRoleRequest(body, aReply);
      return;
    }
    Stream stream{ .reply_ =
                     std::make_shared<CallerResponseWriter>(std::move(aReply)),
                   .tokens_ =
                     Complete(body.at("prompt"), body.value("max_tokens", 16U)),
                   .borrowed_ = aRequest.priority_ == "borrowed",
                   .truncate_ = aFaults.truncate_ };
    SkipResumed(stream, body.value("resume_text", ""));
    const std::lock_guard lock(mutex_);
    stream.prefillSteps_ = Prefill(body.at("prompt"));
    ResponseOptions head{ .contentType_ = "text/event-stream",
                          .headers_ = { AttemptHeader(aRequest, aFaults),
                                        "x-in-flight: " +
                                          std::to_string(LaggingLoad()) } };
    if (aFaults.leaving_) {
      head.headers_.emplace_back("x-leaving: 1");
    }
    stream.reply_->Begin(head);
    if (options_.workMicroseconds_ == 0) {
      while (Step(stream)) {
      }
      return;
    }
    streams_.push_back(std::move(stream));
    std::stable_sort(streams_.begin(), streams_.end(),
                     [](const Stream& aLeft, const Stream& aRight) {
                       return aLeft.borrowed_ < aRight.borrowed_;
                     });
  }

private:
  /** \brief Changes the role. A request with an older fencing token is refused
   * if the engine checks these tokens. */
  auto OnRoleRequest(const json& aBody, CallerResponseWriter& aReply) -> void
  {
    const std::lock_guard lock(mutex_);
    const auto token = aBody.value("token", std::uint64_t{ 0 });
    if (options_.checksFencing_ && token < token_) {
      aReply.Send({ .status_ = 409, .body_ = R"({"error":"old token"})" });
      return;
    }
    token_ = std::max(token_, token);
    role_ = aBody.value("role", role_);
    aReply.Send(
      { .body_ = json{ { "role", role_ }, { "token", token_ } }.dump() });
  }

  static auto SkipResumed(Stream& aStream, const std::string& aText) -> void
  {
    std::string skipped;
    while (aStream.next_ < aStream.tokens_.size() &&
           skipped.size() < aText.size()) {
      skipped += aStream.tokens_[aStream.next_++] + " ";
    }
  }

  auto Prefill(const std::string& aPrompt) -> std::size_t
  {
    const auto prefix =
      goldcrestcroft::Fingerprint(aPrompt.substr(0, kPrefixBytes));
    const auto known = std::find(cached_.begin(), cached_.end(), prefix);
    if (known != cached_.end()) {
      cached_.erase(known);
      cached_.push_front(prefix);
      return 0;
    }
    cached_.push_front(prefix);
    cached_.resize(std::min(cached_.size(), kCachedPrefixes));
    return 1 + aPrompt.size() / kPrefillBytesPerStep;
  }

  auto LaggingLoad() const -> std::size_t
  {
    return loads_.empty() ? streams_.size() : loads_.front();
  }

  /** \brief Advances the stream by one step; returns false once it ended. */
  static auto Step(Stream& aStream) -> bool
  {
    if (aStream.prefillSteps_ > 0) {
      --aStream.prefillSteps_;
      return true;
    }
    if (aStream.truncate_ && aStream.next_ > aStream.tokens_.size() / 2) {
      aStream.reply_->End();
      return false;
    }
    if (aStream.next_ < aStream.tokens_.size()) {
      const auto last = aStream.next_ + 1 == aStream.tokens_.size();
      aStream.reply_->Chunk(
        Chunk(aStream.tokens_[aStream.next_++] + " ", last));
      return true;
    }
    aStream.reply_->Chunk("data: [DONE]\n\n");
    aStream.reply_->End();
    return false;
  }

  auto Run(const std::stop_token& aStop) -> void
  {
    while (!aStop.stop_requested()) {
      std::this_thread::sleep_for(
        std::chrono::microseconds(options_.workMicroseconds_));
      const std::lock_guard lock(mutex_);
      loads_.push_back(streams_.size());
      if (loads_.size() > kLoadLagSteps) {
        loads_.pop_front();
      }
      auto batch = 0;
      std::erase_if(streams_, [&](Stream& aStream) {
        return aStream.reply_->CallerGone() ||
               (batch++ < options_.slots_ && !Step(aStream));
      });
    }
  }

  ServiceOptions options_;
  std::mutex mutex_;
  std::vector<Stream> streams_;
  std::list<std::uint64_t> cached_;
  std::deque<std::size_t> loads_;
  std::uint64_t token_ = 0;
  std::string role_ = "generate";
  std::jthread stepThread_;
};

} // namespace

auto MakeEngineService(const ServiceOptions& aOptions)
  -> std::unique_ptr<Service>
{
  return std::make_unique<EngineStandin>(aOptions);
}

} // namespace standins
