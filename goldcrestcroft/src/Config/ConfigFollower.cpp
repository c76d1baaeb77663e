#include "ConfigFollower.h"

namespace goldcrestcroft {

ConfigFollower::ConfigFollower(Options aOptions, TimePoint aNow)
  : options_(aOptions)
  , lastTick_(aNow)
  , nextHeadRead_(aNow)
  , nextFetch_(aNow)
{
}

auto ConfigFollower::Tick(TimePoint aNow) -> Actions
{
  if (aNow - lastTick_ > options_.pauseBound_) {
    // While the process stood still any number of versions may have been
    // accepted, so what is in force is in doubt until somebody confirms it.
    confirmed_ = false;
    nextHeadRead_ = aNow;
  }
  lastTick_ = aNow;
  Actions actions;
  if (aNow >= nextHeadRead_) {
    actions.readHead_ = true;
    nextHeadRead_ = aNow + options_.headPeriod_;
  }
  if (goal_ > inForce_->Number() && aNow >= nextFetch_) {
    actions.fetchPatches_ = true;
    nextFetch_ = aNow + options_.fetchPeriod_;
  }
  return actions;
}

auto ConfigFollower::OnNumberHeard(VersionNumber aNumber, TimePoint aNow)
  -> void
{
  if (aNow - lastTick_ > options_.pauseBound_) {
    return; // heard before the pause was noticed; Tick comes first
  }
  goal_ = std::max(goal_, aNumber);
  confirmed_ = true;
}

auto ConfigFollower::OnPatch(const ConfigPatch& aPatch, TimePoint) -> bool
{
  if (aPatch.number_ <= inForce_->Number()) {
    return false;
  }
  goal_ = std::max(goal_, aPatch.number_);
  if (ahead_.size() < options_.maxAhead_) {
    ahead_.emplace(aPatch.number_, aPatch);
  }
  return ApplyAhead();
}

auto ConfigFollower::OnSnapshot(const ConfigVersionPtr& aVersion, TimePoint)
  -> bool
{
  goal_ = std::max(goal_, aVersion->Number());
  if (aVersion->Number() <= inForce_->Number()) {
    return false;
  }
  inForce_ = aVersion;
  ahead_.erase(ahead_.begin(), ahead_.upper_bound(inForce_->Number()));
  ApplyAhead();
  return true;
}

auto ConfigFollower::ApplyAhead() -> bool
{
  auto changed = false;
  while (!ahead_.empty() && ahead_.begin()->first == inForce_->Number() + 1) {
    const auto patch = ahead_.extract(ahead_.begin()).mapped();
    const auto applied = Handle(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(inForce_, inForce_->Apply(patch));
        return true;
      },
      [](const Error&) { return false; });
    if (!applied) {
      // Accepted patches were validated against this very predecessor, so this
      // one was damaged on its way: drop it and fetch it again.
      return changed;
    }
    changed = true;
  }
  return changed;
}

} // namespace goldcrestcroft
