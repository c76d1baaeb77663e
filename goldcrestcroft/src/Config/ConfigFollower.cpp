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
  if (aNow - lastTick_ > options_.maxTickGap_) {
    // Any number of versions may have been accepted while the process was
    // paused, so the version in force may be outdated until a peer or the
    // table confirms it.
    confirmed_ = false;
    nextHeadRead_ = aNow;
  }
  lastTick_ = aNow;
  Actions actions;
  if (aNow >= nextHeadRead_) {
    actions.readHead_ = true;
    nextHeadRead_ = aNow + options_.headPeriod_;
  }
  if (newestKnown_ > inForce_->Number() && aNow >= nextFetch_) {
    actions.fetchPatches_ = true;
    nextFetch_ = aNow + options_.fetchPeriod_;
  }
  return actions;
}

auto ConfigFollower::OnVersionAdvertised(VersionNumber aNumber, TimePoint aNow)
  -> void
{
  if (aNow - lastTick_ > options_.maxTickGap_) {
    return; // may predate the pause, which the next Tick detects
  }
  newestKnown_ = std::max(newestKnown_, aNumber);
  confirmed_ = true;
}

auto ConfigFollower::OnPatch(const ConfigPatch& aPatch, TimePoint) -> bool
{
  if (aPatch.number_ <= inForce_->Number()) {
    return false;
  }
  newestKnown_ = std::max(newestKnown_, aPatch.number_);
  if (pending_.size() < options_.maxPending_) {
    pending_.emplace(aPatch.number_, aPatch);
  }
  return ApplyPending();
}

auto ConfigFollower::OnSnapshot(const ConfigVersionPtr& aVersion, TimePoint)
  -> bool
{
  newestKnown_ = std::max(newestKnown_, aVersion->Number());
  if (aVersion->Number() <= inForce_->Number()) {
    return false;
  }
  inForce_ = aVersion;
  pending_.erase(pending_.begin(), pending_.upper_bound(inForce_->Number()));
  ApplyPending();
  return true;
}

auto ConfigFollower::ApplyPending() -> bool
{
  auto changed = false;
  while (!pending_.empty() &&
         pending_.begin()->first == inForce_->Number() + 1) {
    const auto patch = pending_.extract(pending_.begin()).mapped();
    const auto applied = Handle(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(inForce_, inForce_->Apply(patch));
        return true;
      },
      [](const Error&) { return false; });
    if (!applied) {
      // Accepted patches were validated against this same predecessor, so this
      // one was corrupted in transit. It is dropped and fetched again.
      return changed;
    }
    changed = true;
  }
  return changed;
}

} // namespace goldcrestcroft
