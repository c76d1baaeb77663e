#include "FakeServer.h"

namespace bench {

auto FakeServer::Accept(const AttemptId& aId, Duration aService, bool aBorrowed,
                        OnDone aDone) -> bool
{
  if (down_) {
    return false;
  }
  Job job{ .id_ = aId,
           .service_ = aService,
           .borrowed_ = aBorrowed,
           .done_ = std::move(aDone) };
  auto position = waiting_.end();
  if (!aBorrowed) {
    position = std::find_if(waiting_.begin(), waiting_.end(),
                            [](const Job& aJob) { return aJob.borrowed_; });
  }
  waiting_.insert(position, std::move(job));
  StartNext();
  return true;
}

auto FakeServer::StartNext() -> void
{
  while (running_.size() < slots_ && !waiting_.empty()) {
    auto job = std::move(waiting_.front());
    waiting_.pop_front();
    job.startedAt_ = events_.Now();
    job.run_ = ++runs_;
    const auto id = job.id_;
    const auto run = job.run_;
    const auto service = Duration(static_cast<Duration::rep>(
      static_cast<double>(job.service_.count()) * slowness_));
    running_.emplace(id, std::move(job));
    events_.After(service, [this, id, run] { Finish(id, run); });
  }
}

auto FakeServer::Finish(const AttemptId& aId, std::uint64_t aRun) -> void
{
  const auto found = running_.find(aId);
  if (found == running_.end() || found->second.run_ != aRun) {
    return; // The attempt was cancelled or lost in the meantime.
  }
  busy_ += events_.Now() - found->second.startedAt_;
  const auto done = std::move(found->second.done_);
  running_.erase(found);
  StartNext();
  done();
}

auto FakeServer::Cancel(const AttemptId& aId) -> void
{
  waiting_.remove_if([&](const Job& aJob) { return aJob.id_ == aId; });
  const auto found = running_.find(aId);
  if (found != running_.end()) {
    busy_ += events_.Now() - found->second.startedAt_;
    running_.erase(found);
    StartNext();
  }
}

auto FakeServer::Crash(const std::function<void(const AttemptId&)>& aOnLost)
  -> void
{
  down_ = true;
  std::vector<AttemptId> lost;
  for (const auto& job : waiting_) {
    lost.push_back(job.id_);
  }
  for (const auto& [id, job] : running_) {
    busy_ += events_.Now() - job.startedAt_;
    lost.push_back(id);
  }
  waiting_.clear();
  running_.clear();
  for (const auto& id : lost) {
    aOnLost(id);
  }
}

} // namespace bench
