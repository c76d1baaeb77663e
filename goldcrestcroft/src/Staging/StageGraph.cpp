#include "StageGraph.h"

#include <algorithm>

namespace goldcrestcroft {

StageGraph::StageGraph(const std::vector<RouteStage>& aStages,
                       const std::vector<std::uint32_t>& aPieceCounts)
  : stages_(aStages.size())
{
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const auto count = i < aPieceCounts.size() ? aPieceCounts[i] : 1;
    stages_[i].handles_.resize(count);
    stages_[i].begun_.resize(count);
    for (const auto before : aStages[i].after_) {
      if (before >= i) {
        continue;
      }
      if (!stages_[before].handles_.empty()) {
        stages_[i].after_.push_back(before);
        continue;
      }
      // The dependencies of a skipped stage pass to its successors.
      const auto& needs = stages_[before].after_;
      stages_[i].after_.insert(stages_[i].after_.end(), needs.begin(),
                               needs.end());
    }
    auto& after = stages_[i].after_;
    std::sort(after.begin(), after.end());
    after.erase(std::unique(after.begin(), after.end()), after.end());
    if (count > 0) {
      for (const auto before : after) {
        stages_[before].followed_ = true;
      }
    }
  }
}

auto StageGraph::ShouldDefer(std::size_t aStage) const -> bool
{
  // The result of a short branch would only occupy its engine's memory while
  // the longer branches run.
  const auto depth = DepthFrom(aStage);
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].IsProduced() && DepthFrom(i) > depth) {
      return true;
    }
  }
  return false;
}

auto StageGraph::IsReady(std::size_t aStage) const -> bool
{
  const auto& stage = stages_[aStage];
  return !stage.started_ && !stage.handles_.empty() &&
         std::all_of(stage.after_.begin(), stage.after_.end(),
                     [&](std::size_t aBefore) {
                       return stages_[aBefore].IsProduced();
                     }) &&
         !ShouldDefer(aStage);
}

auto StageGraph::IsPending(std::size_t aStage) const -> bool
{
  const auto& stage = stages_[aStage];
  return !stage.started_ && !stage.handles_.empty() && !IsReady(aStage);
}

auto StageGraph::TakeReady() -> std::vector<std::size_t>
{
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (IsReady(i)) {
      stages_[i].started_ = true;
      ready.push_back(i);
    }
  }
  return ready;
}

auto StageGraph::MissingPieces(std::size_t aStage) const
  -> std::vector<std::uint32_t>
{
  std::vector<std::uint32_t> missing;
  const auto& handles = stages_[aStage].handles_;
  for (std::uint32_t i = 0; i < handles.size(); ++i) {
    if (handles[i].empty()) {
      missing.push_back(i);
    }
  }
  return missing;
}

auto StageGraph::InputsOf(std::size_t aStage) const -> std::vector<std::string>
{
  std::vector<std::string> inputs;
  for (const auto before : stages_[aStage].after_) {
    const auto& handles = stages_[before].handles_;
    inputs.insert(inputs.end(), handles.begin(), handles.end());
  }
  return inputs;
}

auto StageGraph::OnProduced(std::size_t aStage, std::uint32_t aPiece,
                            std::string aHandle) -> void
{
  auto& stage = stages_[aStage];
  if (aPiece < stage.handles_.size() && stage.handles_[aPiece].empty()) {
    stage.handles_[aPiece] = std::move(aHandle);
    ++stage.producedCount_;
    stage.begun_[aPiece] = true;
  }
}

auto StageGraph::OnBegun(std::size_t aStage, std::uint32_t aPiece) -> void
{
  auto& begun = stages_[aStage].begun_;
  if (aPiece < begun.size()) {
    begun[aPiece] = true;
  }
}

auto StageGraph::Reset(std::size_t aStage) -> void
{
  auto& stage = stages_[aStage];
  std::fill(stage.handles_.begin(), stage.handles_.end(), "");
  std::fill(stage.begun_.begin(), stage.begun_.end(), false);
  stage.producedCount_ = 0;
  stage.started_ = false;
  stage.released_ = false;
  // Inputs that were already released have to be produced again as well.
  for (const auto before : stage.after_) {
    if (stages_[before].released_) {
      Reset(before);
    }
  }
}

auto StageGraph::OnInputsLost(std::size_t aStage) -> void
{
  auto& stage = stages_[aStage];
  stage.started_ = false;
  for (std::size_t i = 0; i < stage.handles_.size(); ++i) {
    stage.begun_[i] = !stage.handles_[i].empty();
  }
  for (const auto before : stages_[aStage].after_) {
    Reset(before);
  }
}

auto StageGraph::OnCancelled() -> void
{
  for (auto& stage : stages_) {
    if (!stage.IsProduced()) {
      stage.started_ = false;
      for (std::size_t i = 0; i < stage.handles_.size(); ++i) {
        stage.begun_[i] = !stage.handles_[i].empty();
      }
    }
  }
}

auto StageGraph::OnFinalInputsLost() -> void
{
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].followed_) {
      Reset(i);
    }
  }
}

auto StageGraph::IsDone() const -> bool
{
  return std::all_of(stages_.begin(), stages_.end(),
                     [](const Stage& aStage) { return aStage.IsProduced(); });
}

auto StageGraph::FinalInputs() const -> std::vector<std::string>
{
  std::vector<std::string> inputs;
  for (const auto& stage : stages_) {
    if (!stage.followed_) {
      inputs.insert(inputs.end(), stage.handles_.begin(), stage.handles_.end());
    }
  }
  return inputs;
}

auto StageGraph::TakeHandles(
  std::size_t aStage, std::vector<std::pair<std::size_t, std::string>>& aInto)
  -> void
{
  stages_[aStage].released_ = true;
  for (const auto& handle : stages_[aStage].handles_) {
    if (!handle.empty()) {
      aInto.emplace_back(aStage, handle);
    }
  }
}

auto StageGraph::TakeUnneeded()
  -> std::vector<std::pair<std::size_t, std::string>>
{
  std::vector<std::pair<std::size_t, std::string>> needless;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    const auto& stage = stages_[i];
    if (!stage.followed_ || stage.released_ || !stage.IsProduced()) {
      continue;
    }
    const auto needed =
      std::any_of(stages_.begin(), stages_.end(), [&](const Stage& aOther) {
        return !aOther.HasFetchedInputs() &&
               std::find(aOther.after_.begin(), aOther.after_.end(), i) !=
                 aOther.after_.end();
      });
    if (!needed) {
      TakeHandles(i, needless);
    }
  }
  return needless;
}

auto StageGraph::TakeAll() -> std::vector<std::pair<std::size_t, std::string>>
{
  std::vector<std::pair<std::size_t, std::string>> all;
  for (std::size_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].released_) {
      TakeHandles(i, all);
    }
  }
  return all;
}

auto StageGraph::DepthFrom(std::size_t aStage) const -> std::size_t
{
  std::size_t deepest = 0;
  for (std::size_t i = aStage + 1; i < stages_.size(); ++i) {
    const auto& after = stages_[i].after_;
    if (!stages_[i].handles_.empty() &&
        std::find(after.begin(), after.end(), aStage) != after.end()) {
      deepest = std::max(deepest, DepthFrom(i));
    }
  }
  return deepest + 1;
}

} // namespace goldcrestcroft
