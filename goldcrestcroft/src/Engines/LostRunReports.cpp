#include "LostRunReports.h"

#include <algorithm>

namespace goldcrestcroft {

auto OwnersOf(std::uint64_t aRequest, const std::vector<std::string>& aHosts,
              std::size_t aCount) -> std::vector<std::string>
{
  const auto key = ToHex(aRequest);
  std::vector<std::pair<std::uint64_t, const std::string*>> weights;
  weights.reserve(aHosts.size());
  for (const auto& host : aHosts) {
    weights.emplace_back(RendezvousWeight(key, host), &host);
  }
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(aCount, weights.size()));
  std::partial_sort(weights.begin(), end, weights.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return std::tie(aRight.first, *aRight.second) <
                             std::tie(aLeft.first, *aLeft.second);
                    });
  std::vector<std::string> owners;
  std::transform(weights.begin(), end, std::back_inserter(owners),
                 [](const auto& aWeight) { return *aWeight.second; });
  return owners;
}

auto LostRunReports::Insert(const LostRun& aRun) -> bool
{
  if (!known_.insert(KeyOf(aRun)).second) {
    return false;
  }
  if (runs_.size() >= options_.capacity_) {
    RemoveOldest();
  }
  runs_.push_back({ .run_ = aRun });
  return true;
}

auto LostRunReports::RemoveOldest() -> void
{
  known_.erase(KeyOf(runs_.front().run_));
  runs_.pop_front();
  ++first_;
}

auto LostRunReports::Add(const LostRun& aRun) -> void
{
  if (Insert(aRun)) {
    AssignOwners(first_ + runs_.size() - 1);
  }
}

auto LostRunReports::AddReported(const LostRun& aRun) -> void
{
  if (OutlivesOwners(aRun.request_) && Insert(aRun)) {
    for (const auto& owner : Owners(aRun.request_)) {
      runs_.back().sendCounts_[owner] = options_.sendsPerOwner_;
    }
  }
}

auto LostRunReports::Forget(std::uint64_t aRequest) -> void
{
  for (auto& report : runs_) {
    if (report.run_.request_ == aRequest) {
      report.forgotten_ = true;
      report.sendCounts_.clear();
    }
  }
}

auto LostRunReports::Owners(std::uint64_t aRequest) const
  -> std::vector<std::string>
{
  return OwnersOf(aRequest, hosts_, options_.owners_);
}

auto LostRunReports::OtherOwners(std::uint64_t aRequest,
                                 const std::string& aSelf) const
  -> std::vector<std::string>
{
  auto owners = OwnersOf(aRequest, hosts_, options_.owners_ + 1);
  std::erase(owners, aSelf);
  owners.resize(std::min(owners.size(), options_.owners_));
  return owners;
}

auto LostRunReports::SetHosts(std::vector<std::string> aHosts) -> bool
{
  std::sort(aHosts.begin(), aHosts.end());
  if (aHosts == hosts_) {
    return false;
  }
  hosts_ = std::move(aHosts);
  hostsChanged_ = true;
  return true;
}

auto LostRunReports::AssignOwners(std::uint64_t aNumber) -> void
{
  auto& report = runs_[aNumber - first_];
  if (report.forgotten_) {
    return;
  }
  // A host that was an owner before need not receive the run again.
  for (const auto& owner : Owners(report.run_.request_)) {
    report.sendCounts_.try_emplace(owner, 0);
  }
  std::erase_if(report.sendCounts_, [&](const auto& aItem) {
    return !std::binary_search(hosts_.begin(), hosts_.end(), aItem.first);
  });
  if (!IsFullySent(report)) {
    pending_.push_back(aNumber);
  }
}

auto LostRunReports::IsFullySent(const Report& aReport) const -> bool
{
  return std::all_of(
    aReport.sendCounts_.begin(), aReport.sendCounts_.end(),
    [&](const auto& aItem) { return aItem.second >= options_.sendsPerOwner_; });
}

auto LostRunReports::Refresh(TimePoint aNow) -> void
{
  while (!runs_.empty() &&
         runs_.front().run_.ended_ + options_.retention_ <= aNow) {
    RemoveOldest();
  }
  if (std::exchange(hostsChanged_, false)) {
    pending_.clear();
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      AssignOwners(first_ + i);
    }
  }
}

auto LostRunReports::Due(TimePoint aNow) -> std::vector<Outgoing>
{
  Refresh(aNow);
  std::map<std::string, std::vector<LostRun>> messages;
  std::vector<std::uint32_t*> counted;
  // Runs that an owner received least often go first.
  for (std::uint32_t round = 0; round < options_.sendsPerOwner_; ++round) {
    for (const auto number : pending_) {
      if (number < first_) {
        continue; // Evicted or expired.
      }
      auto& report = runs_[number - first_];
      for (auto& [owner, sendCount] : report.sendCounts_) {
        if (sendCount == round &&
            messages[owner].size() < options_.runsPerMessage_) {
          messages[owner].push_back(report.run_);
          counted.push_back(&sendCount);
        }
      }
    }
  }
  for (auto* sendCount : counted) {
    ++*sendCount;
  }
  std::erase_if(pending_, [&](std::uint64_t aNumber) {
    return aNumber < first_ || IsFullySent(runs_[aNumber - first_]);
  });
  std::vector<Outgoing> due;
  due.reserve(messages.size());
  for (auto& [owner, runs] : messages) {
    due.push_back({ .owner_ = owner, .runs_ = std::move(runs) });
  }
  return due;
}

} // namespace goldcrestcroft
