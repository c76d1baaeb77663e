#include "LostRunReports.h"

#include <algorithm>

namespace goldcrestcroft {

auto KeepersOf(std::uint64_t aRequest, const std::vector<std::string>& aHosts,
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
  std::vector<std::string> keepers;
  std::transform(weights.begin(), end, std::back_inserter(keepers),
                 [](const auto& aWeight) { return *aWeight.second; });
  return keepers;
}

auto LostRunReports::Add(const LostRun& aRun) -> void
{
  if (runs_.size() >= options_.capacity_) {
    runs_.pop_front();
    ++first_;
  }
  runs_.push_back({ .run_ = aRun });
  Assign(first_ + runs_.size() - 1);
}

auto LostRunReports::Forget(std::uint64_t aRequest) -> void
{
  for (auto& own : runs_) {
    if (own.run_.request_ == aRequest) {
      own.forgotten_ = true;
      own.told_.clear();
    }
  }
}

auto LostRunReports::Keepers(std::uint64_t aRequest) const
  -> std::vector<std::string>
{
  return KeepersOf(aRequest, hosts_, options_.keepers_);
}

auto LostRunReports::SetHosts(std::vector<std::string> aHosts) -> void
{
  std::sort(aHosts.begin(), aHosts.end());
  if (aHosts != hosts_) {
    hosts_ = std::move(aHosts);
    hostsChanged_ = true;
  }
}

auto LostRunReports::Assign(std::uint64_t aNumber) -> void
{
  auto& own = runs_[aNumber - first_];
  if (own.forgotten_) {
    return;
  }
  // A keeper that was one before need not be told again.
  for (const auto& keeper : Keepers(own.run_.request_)) {
    own.told_.try_emplace(keeper, 0);
  }
  std::erase_if(own.told_, [&](const auto& aItem) {
    return !std::binary_search(hosts_.begin(), hosts_.end(), aItem.first);
  });
  if (!IsTold(own)) {
    pending_.push_back(aNumber);
  }
}

auto LostRunReports::IsTold(const Own& aOwn) const -> bool
{
  return std::all_of(
    aOwn.told_.begin(), aOwn.told_.end(),
    [&](const auto& aItem) { return aItem.second >= options_.repeats_; });
}

auto LostRunReports::Refresh(TimePoint aNow) -> void
{
  while (!runs_.empty() &&
         runs_.front().run_.ended_ + options_.rememberFor_ <= aNow) {
    runs_.pop_front();
    ++first_;
  }
  if (std::exchange(hostsChanged_, false)) {
    pending_.clear();
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      Assign(first_ + i);
    }
  }
}

auto LostRunReports::Due(TimePoint aNow) -> std::vector<Outgoing>
{
  Refresh(aNow);
  std::map<std::string, std::vector<LostRun>> messages;
  std::vector<std::uint32_t*> counted;
  // What a keeper was told least often goes first.
  for (std::uint32_t round = 0; round < options_.repeats_; ++round) {
    for (const auto number : pending_) {
      if (number < first_) {
        continue; // Forgotten.
      }
      auto& own = runs_[number - first_];
      for (auto& [keeper, times] : own.told_) {
        if (times == round &&
            messages[keeper].size() < options_.runsPerMessage_) {
          messages[keeper].push_back(own.run_);
          counted.push_back(&times);
        }
      }
    }
  }
  for (auto* times : counted) {
    ++*times;
  }
  std::erase_if(pending_, [&](std::uint64_t aNumber) {
    return aNumber < first_ || IsTold(runs_[aNumber - first_]);
  });
  std::vector<Outgoing> due;
  due.reserve(messages.size());
  for (auto& [keeper, runs] : messages) {
    due.push_back({ .keeper_ = keeper, .runs_ = std::move(runs) });
  }
  return due;
}

} // namespace goldcrestcroft
