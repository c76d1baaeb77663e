#include "PipelineRun.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace goldcrestcroft {

PipelineRun::PipelineRun(Options aOptions)
  : options_(std::move(aOptions))
  , pipeline_(options_.config_->Content().FindPipeline(options_.pipeline_))
  , data_{ .input_ = options_.input_ }
{
}

auto PipelineRun::StagePool() const -> const Pool&
{
  const auto stage = std::min(stage_, pipeline_->stages_.size() - 1);
  return *options_.config_->Content().FindPool(pipeline_->stages_[stage].pool_);
}

auto PipelineRun::PoolOfStage(const std::string& aName) const -> PoolId
{
  for (const auto& stage : pipeline_->stages_) {
    if (stage.name_ == aName) {
      return stage.pool_;
    }
  }
  return {};
}

auto PipelineRun::ActiveAttempt() const -> const AttemptId&
{
  static const AttemptId kNone;
  return active_.empty() ? kNone : active_.front().id_;
}

auto PipelineRun::Find(const AttemptId& aAttempt) -> Active*
{
  const auto found =
    std::find_if(active_.begin(), active_.end(),
                 [&](const Active& aEach) { return aEach.id_ == aAttempt; });
  return found == active_.end() ? nullptr : &*found;
}

auto PipelineRun::MakeAttemptId() -> AttemptId
{
  return { fmt::format("{}.{}.{}", options_.id_.value_, stage_,
                       ++attemptsMade_) };
}

auto PipelineRun::Forecast() const -> std::vector<StageForecast>
{
  std::vector<StageForecast> forecast;
  for (auto i = stage_; i < pipeline_->stages_.size(); ++i) {
    const auto& pool = pipeline_->stages_[i].pool_;
    const auto kind = options_.config_->Content().FindPool(pool)->kind_;
    // The number of documents to rerank is known only after retrieval.
    const auto known = i == stage_ || kind != StageKind::Rerank;
    forecast.push_back({ .pool_ = pool,
                         .size_ = known ? std::optional(StageSize(kind, data_))
                                        : std::nullopt });
  }
  return forecast;
}

auto PipelineRun::EnqueueAttempt(TimePoint aNow, const ServerId& aAvoid)
  -> SubmitWork
{
  const auto& pool = StagePool();
  const auto id = MakeAttemptId();
  ++attemptsOfStage_;
  hops_.push_back({ .stage_ = pipeline_->stages_[stage_].name_,
                    .attempt_ = id,
                    .queuedAt_ = aNow });
  active_.push_back({ .id_ = id, .hop_ = hops_.size() - 1 });
  const auto prefix = options_.workspace_.value_ + "/" +
                      options_.pipeline_.value_ + "/" +
                      options_.input_.session_;
  return { .work_ = { .id_ = id,
                      .pool_ = pool.id_,
                      .workspace_ = options_.workspace_,
                      .priority_ = pipeline_->priority_,
                      .deadline_ = options_.deadline_,
                      .size_ = StageSize(pool.kind_, data_),
                      .affinity_ = pool.kind_ == StageKind::Generate
                                     ? Fingerprint(prefix)
                                     : 0,
                      .avoid_ = aAvoid } };
}

auto PipelineRun::StartStage(TimePoint aNow) -> Commands
{
  attemptsOfStage_ = 0;
  return { EnqueueAttempt(aNow, {}) };
}

auto PipelineRun::OnAssigned(const AttemptId& aAttempt, const ServerId& aServer,
                             TimePoint aNow) -> void
{
  auto* active = Find(aAttempt);
  if (active == nullptr) {
    return;
  }
  active->sent_ = true;
  ++sentAttempts_;
  outcomeUnknown_ = outcomeUnknown_ || !StagePool().idempotent_;
  auto& hop = hops_[active->hop_];
  hop.server_ = aServer;
  hop.sentAt_ = aNow;
}

auto PipelineRun::OnHedged(const AttemptId& aCopy, const ServerId& aServer,
                           TimePoint aNow) -> void
{
  hops_.push_back({ .stage_ = pipeline_->stages_[stage_].name_,
                    .attempt_ = aCopy,
                    .queuedAt_ = aNow });
  active_.push_back({ .id_ = aCopy, .hop_ = hops_.size() - 1 });
  OnAssigned(aCopy, aServer, aNow);
}

auto PipelineRun::WantsHedge(Duration aExpected, TimePoint aNow) const -> bool
{
  constexpr Duration kMinDelay = std::chrono::milliseconds{ 10 };
  constexpr int kSlowFactor = 3;
  if (done_ || !options_.mayRetry_ || active_.size() != 1 ||
      !StagePool().idempotent_) {
    return false;
  }
  const auto& only = active_.front();
  const auto delay = std::max(kMinDelay, kSlowFactor * aExpected);
  return only.sent_ && !only.progressed_ &&
         aNow - hops_[only.hop_].sentAt_ >= delay;
}

auto PipelineRun::Retire(const AttemptId& aAttempt, std::string aResult,
                         TimePoint aNow) -> void
{
  const auto* active = Find(aAttempt);
  auto& hop = hops_[active->hop_];
  hop.endedAt_ = aNow;
  hop.result_ = std::move(aResult);
  std::erase_if(active_,
                [&](const Active& aEach) { return aEach.id_ == aAttempt; });
}

auto PipelineRun::CancelOthers(const AttemptId& aWinner, TimePoint aNow)
  -> Commands
{
  Commands commands;
  const auto all = active_;
  for (const auto& other : all) {
    if (other.id_ != aWinner) {
      Retire(other.id_, "cancelled", aNow);
      commands.emplace_back(CancelAttempt{ other.id_ });
    }
  }
  return commands;
}

auto PipelineRun::Advance(const AttemptId& aAttempt, RetryBudget& aBudget,
                          TimePoint aNow) -> Commands
{
  aBudget.OnSuccess();
  auto commands = CancelOthers(aAttempt, aNow);
  Retire(aAttempt, "ok", aNow);
  outcomeUnknown_ = false;
  ++stage_;
  const auto more =
    stage_ < pipeline_->stages_.size()
      ? StartStage(aNow)
      : End({ .outcome_ = Outcome::Completed, .text_ = data_.text_ }, aNow);
  commands.insert(commands.end(), more.begin(), more.end());
  return commands;
}

auto PipelineRun::OnAnswer(const AttemptId& aAttempt, const std::string& aBody,
                           RetryBudget& aBudget, TimePoint aNow) -> Commands
{
  if (Find(aAttempt) == nullptr) {
    ++dropped_;
    return {};
  }
  const auto valid = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ReadStageResponse(StagePool().kind_, aBody, data_));
      return true;
    },
    [](const Error&) { return false; });
  if (!valid) {
    return OnFailure(aAttempt, AttemptFailure::InvalidResponse, aBudget, aNow);
  }
  return Advance(aAttempt, aBudget, aNow);
}

auto PipelineRun::OnStreamBytes(const AttemptId& aAttempt,
                                std::string_view aBytes, RetryBudget& aBudget,
                                TimePoint aNow) -> Commands
{
  auto* active = Find(aAttempt);
  if (active == nullptr) {
    ++dropped_;
    return {};
  }
  std::string text;
  const auto wellFormed = Handle(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(text, active->reader_.Feed(aBytes));
      return true;
    },
    [](const Error&) { return false; });
  if (!wellFormed) {
    return OnFailure(aAttempt, AttemptFailure::InvalidResponse, aBudget, aNow);
  }
  if (text.empty()) {
    return {};
  }
  // The first attempt that produces text wins: two streams must never mix.
  active->progressed_ = true;
  auto commands = CancelOthers(aAttempt, aNow);
  data_.text_ += text;
  commands.emplace_back(EmitText{ std::move(text) });
  return commands;
}

auto PipelineRun::OnStreamEnd(const AttemptId& aAttempt, RetryBudget& aBudget,
                              TimePoint aNow) -> Commands
{
  const auto* active = Find(aAttempt);
  if (active == nullptr) {
    ++dropped_;
    return {};
  }
  if (!active->reader_.IsComplete()) {
    return OnFailure(aAttempt, AttemptFailure::InvalidResponse, aBudget, aNow);
  }
  return Advance(aAttempt, aBudget, aNow);
}

} // namespace goldcrestcroft
