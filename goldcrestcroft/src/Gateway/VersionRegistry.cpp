#include "VersionRegistry.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

#include <algorithm>

namespace goldcrestcroft {

auto VersionRegistry::Pause(Duration aTime) -> Task<void>
{
  asio::steady_timer timer(context_, aTime);
  co_await timer.async_wait(kAsTuple);
}

auto VersionRegistry::OnEngines(const EngineList& aEngines,
                                const std::set<std::string>& aServices) -> void
{
  const auto now = clock_.Now();
  const auto& inUse = aEngines.Versions();
  for (const auto& name : aServices) {
    auto& service = services_[name];
    const auto found = inUse.find(name);
    const auto versions =
      found == inUse.end() ? std::set<std::string>() : found->second;
    for (auto& [version, state] : service.versions_) {
      if (!versions.contains(version) && !state.goneAt_) {
        state.goneAt_ = now;
      }
    }
    for (const auto& version : versions) {
      auto& state =
        service.versions_.try_emplace(version, Version{ .appearedAt_ = now })
          .first->second;
      if (state.goneAt_ && now - *state.goneAt_ >= options_.maxAbsence_) {
        state.appearedAt_ = now;
        service.returned_ = true;
      }
      state.goneAt_.reset();
    }
    if (service.returned_ || service.restored_ ||
        Wanted(service) != service.stored_) {
      StartUpdate(name);
    }
  }
}

auto VersionRegistry::OnStoreRestored() -> void
{
  for (auto& [name, service] : services_) {
    service.restored_ = true;
    StartUpdate(name);
  }
}

auto VersionRegistry::Stored(const std::string& aService) const
  -> std::optional<VersionList>
{
  const auto found = services_.find(aService);
  return found == services_.end() ? std::nullopt : found->second.stored_;
}

auto VersionRegistry::InUse(const std::string& aService) const -> VersionList
{
  std::vector<std::string> versions;
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    for (const auto& [version, state] : found->second.versions_) {
      if (!state.goneAt_) {
        versions.push_back(version);
      }
    }
  }
  return VersionList(std::move(versions));
}

auto VersionRegistry::IsStored(const std::string& aService,
                               const std::string& aVersion) const -> bool
{
  const auto found = services_.find(aService);
  return found != services_.end() && !found->second.returned_ &&
         !found->second.restored_ && found->second.stored_ &&
         found->second.stored_->Contains(aVersion);
}

auto VersionRegistry::HasWaited(const std::string& aService,
                                const std::string& aVersion) const -> bool
{
  const auto service = services_.find(aService);
  if (service == services_.end()) {
    return false;
  }
  const auto version = service->second.versions_.find(aVersion);
  return version != service->second.versions_.end() &&
         clock_.Now() - version->second.appearedAt_ >=
           options_.maxRegistration_;
}

auto VersionRegistry::UpdatingFor(const std::string& aService) const -> Duration
{
  const auto found = services_.find(aService);
  return found != services_.end() && found->second.updating_
           ? clock_.Now() - found->second.updateBeganAt_
           : Duration{};
}

auto VersionRegistry::Wanted(const Service& aService) const -> VersionList
{
  std::vector<std::string> inUse;
  for (const auto& [version, state] : aService.versions_) {
    if (!state.goneAt_) {
      inUse.push_back(version);
    }
  }
  return aService.stored_.value_or(VersionList())
    .Union(VersionList(std::move(inUse)));
}

auto VersionRegistry::Read(std::string aService)
  -> Task<std::optional<VersionList>>
{
  const auto reply =
    co_await store_.ReadRow(StoreTable::StreamVersions, aService);
  auto failure = reply.detail_;
  if (reply.end_ == StoreOutcome::Done && !options_.isCurrent_(reply)) {
    failure = "a reply of an earlier era of the store";
  } else if (reply.end_ == StoreOutcome::Done) {
    auto read = reply.rows_.empty()
                  ? VersionList()
                  : VersionList::Decode(reply.rows_.front().value_);
    if (read) {
      auto& service = services_[aService];
      const auto revision =
        reply.rows_.empty() ? 0 : reply.rows_.front().version_.number_;
      // Replies to calls on several connections may come out of order.
      if (revision < service.revision_ && !service.restored_) {
        co_return service.stored_;
      }
      service.revision_ = revision;
      service.row_ = *read;
      // What a restored store has lost is written again.
      if (service.restored_ || read->size() == 0) {
        co_return read->Union(service.stored_.value_or(VersionList()));
      }
      service.stored_ = read;
      co_return read;
    }
    failure = "the row is not a list of versions";
  }
  metrics_.Count("stream_versions_unread");
  Log::Write(LogLevel::Warning, "stream_versions_unread",
             { { "service", aService }, { "reason", failure } });
  co_return std::nullopt;
}

auto VersionRegistry::Replace(std::string aService, VersionList aVersions)
  -> Task<bool>
{
  std::vector<RowChange> changes{ {
    .key_ = aService,
    .value_ = aVersions.Encode(),
    .expected_ = services_[aService].revision_,
  } };
  const auto reply =
    co_await store_.Change(StoreTable::StreamVersions, std::move(changes));
  auto& service = services_[aService];
  if (reply.end_ != StoreOutcome::Done) {
    // A conflict is normal: another host has written the row first.
    if (reply.end_ != StoreOutcome::Conflict) {
      Log::Write(LogLevel::Warning, "stream_versions_not_written",
                 { { "service", aService }, { "reason", reply.detail_ } });
    }
    co_return false;
  }
  service.revision_ = reply.version_.number_;
  service.row_ = aVersions;
  service.stored_ = aVersions;
  service.restored_ = false;
  service.returned_ = false;
  metrics_.Count("stream_versions_written");
  std::string list;
  for (const auto& version : aVersions.Versions()) {
    list += (list.empty() ? "" : " ") + version;
  }
  Log::Write(LogLevel::Info, "stream_versions_written",
             { { "service", aService }, { "versions", list } });
  co_return true;
}

auto VersionRegistry::StartUpdate(const std::string& aService) -> void
{
  auto& service = services_[aService];
  if (!std::exchange(service.updating_, true)) {
    service.updateBeganAt_ = clock_.Now();
    asio::co_spawn(context_, Update(aService),
                   LogFailure{ "update_stream_versions" });
  }
}

auto VersionRegistry::Spread() const -> Duration
{
  RandomEngine random(Fingerprint(
    options_.host_,
    static_cast<std::uint64_t>(clock_.Now().time_since_epoch().count())));
  const std::chrono::duration<double> spread(
    UniformUnit(random) * static_cast<double>(options_.hosts_()) /
    options_.callsPerSecond_);
  return std::chrono::duration_cast<Duration>(spread);
}

auto VersionRegistry::Update(std::string aService) -> Task<void>
{
  auto& service = services_[aService];
  const ClearAtEnd updating(service.updating_);
  auto pause = options_.minRetryDelay_;
  auto yields = !options_.removes_();
  for (;;) {
    const auto read = co_await Read(aService);
    auto current = false;
    if (read) {
      const auto wanted = read->Union(InUse(aService));
      // A removal of a version that has returned may be under way: it fails if
      // the row has changed.
      if (service.row_ == wanted && !service.returned_) {
        service.stored_ = wanted;
        service.restored_ = false;
        current = true;
      } else if (std::exchange(yields, false)) {
        // Another host mostly writes the row meanwhile.
        co_await Pause(Spread());
        continue;
      } else {
        current = co_await Replace(aService, wanted);
      }
    }
    // Versions may have appeared meanwhile.
    if (current && !service.returned_ && !service.restored_ &&
        Wanted(service) == service.stored_) {
      co_return;
    }
    co_await Pause(pause);
    pause = std::min(pause * 2, options_.maxRetryDelay_);
  }
}

auto VersionRegistry::Expired(const Service& aService) const
  -> std::vector<std::string>
{
  std::vector<std::string> expired;
  const auto now = clock_.Now();
  const auto stored = aService.stored_.value_or(VersionList());
  for (const auto& version : stored.Versions()) {
    const auto found = aService.versions_.find(version);
    const auto isGone = found != aService.versions_.end() &&
                        found->second.goneAt_ &&
                        now - *found->second.goneAt_ >= options_.retention_;
    if (isGone && expired.size() + 1 < stored.size()) {
      expired.push_back(version);
    }
  }
  return expired;
}

auto VersionRegistry::Maintain() -> Task<void>
{
  for (;;) {
    co_await Pause(options_.checkInterval_);
    for (auto& [name, service] : services_) {
      // Versions that were gone before this host started count from now on.
      const auto stored = service.stored_.value_or(VersionList());
      for (const auto& version : stored.Versions()) {
        service.versions_.try_emplace(
          version, Version{ .appearedAt_ = clock_.Now(),
                            .goneAt_ = clock_.Now() - options_.maxAbsence_ });
      }
      if (service.updating_ || Expired(service).empty()) {
        continue;
      }
      const auto read = co_await Read(name);
      if (!read || service.updating_ || service.restored_ ||
          !options_.removes_()) {
        continue;
      }
      auto rest = *read;
      for (const auto& version : Expired(service)) {
        rest = rest.Without(version);
      }
      if (rest != *read && rest.size() > 0) {
        co_await Replace(name, rest);
      }
    }
  }
}

} // namespace goldcrestcroft
