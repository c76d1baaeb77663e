#include "StreamVersions.h"

#include "BackgroundTask.h"

namespace goldcrestcroft {

auto StreamId::Key() const -> std::string
{
  // The lengths keep parts of different streams from running into each other.
  const auto text = std::to_string(service_.size()) + ":" + service_ +
                    std::to_string(workspace_.size()) + ":" + workspace_ +
                    attempt_;
  return ToHex(Fingerprint(text, 1)) + ToHex(Fingerprint(text, 2));
}

StreamVersions::StreamVersions(asio::io_context& aContext, Options aOptions,
                               MetadataStore& aStore, GatewayMetrics& aMetrics)
  : context_(aContext)
  , options_(std::move(aOptions))
  , metrics_(aMetrics)
  , registry_(
      aContext,
      { .host_ = options_.host_,
        .hosts_ = options_.hosts_,
        .removes_ = options_.removes_,
        .isCurrent_ =
          [this](const StoreReply& aReply) { return IsCurrent(aReply); } },
      aStore, aMetrics)
  , records_(aContext, { .hosts_ = options_.hosts_ }, aStore, aMetrics)
{
}

auto StreamVersions::Start() -> void
{
  asio::co_spawn(context_,
                 KeepRunning("maintain_stream_versions",
                             [this] { return registry_.Maintain(); }),
                 LogFailure{ "maintain_stream_versions" });
  asio::co_spawn(context_,
                 KeepRunning("maintain_streams", [this] { return Maintain(); }),
                 LogFailure{ "maintain_streams" });
}

auto StreamVersions::Maintain() -> Task<void>
{
  asio::steady_timer timer(context_);
  auto orphansCheckedAt = clock_.Now();
  for (;;) {
    timer.expires_after(options_.checkInterval_);
    co_await timer.async_wait(kAsTuple);
    const auto now = clock_.Now();
    records_.RemoveExpired(now);
    std::erase_if(begun_, [&](const auto& aItem) {
      return now >= aItem.second.keepUntil_;
    });
    if (mayHaveRows_ && options_.removes_() &&
        now - orphansCheckedAt >= options_.orphanInterval_) {
      orphansCheckedAt = now;
      mayHaveRows_ = co_await records_.RemoveOrphans();
    }
  }
}

auto StreamVersions::OnStoreRestored(std::uint64_t aEra) -> void
{
  if (era_ && *era_ >= aEra) {
    return;
  }
  era_ = aEra;
  restoredAt_ = clock_.Now();
  registry_.OnStoreRestored();
  records_.OnStoreRestored(aEra);
}

auto StreamVersions::IsCurrent(const StoreReply& aReply) -> bool
{
  const auto era = aReply.version_.era_;
  if (!era_) {
    era_ = era;
  }
  OnStoreRestored(era);
  return era == *era_;
}

auto StreamVersions::Known(const std::string& aService) const -> VersionList
{
  return registry_.Stored(aService)
    .value_or(VersionList())
    .Union(registry_.InUse(aService));
}

auto StreamVersions::IsBase(const std::string& aService,
                            const std::string& aVersion) const -> bool
{
  const auto stored = registry_.Stored(aService);
  return stored && stored->IsBase(aVersion) &&
         (registry_.IsStored(aService, aVersion) ||
          Known(aService).size() == 1);
}

auto StreamVersions::CanBeKnown(const std::string& aService,
                                const std::string& aVersion) const -> bool
{
  return IsBase(aService, aVersion) ||
         (registry_.IsStored(aService, aVersion) && !records_.IsFailing() &&
          !records_.IsFull());
}

auto StreamVersions::MayBecomeKnown(const std::string& aService,
                                    const std::string& aVersion,
                                    Duration aTimeLeft) const -> bool
{
  const auto outage =
    registry_.IsStored(aService, aVersion)
      ? records_.FailingFor()
      : std::max(records_.FailingFor(), registry_.UpdatingFor(aService));
  return HasWaited(aService, aVersion) ||
         (outage < aTimeLeft && !records_.IsFull());
}

auto StreamVersions::OnlyVersion(const StreamId& aStream) const
  -> std::optional<std::string>
{
  return records_.IsEmpty() ? std::nullopt : records_.Uncertain(aStream.Key());
}

auto StreamVersions::Withdraw(const StreamId& aStream) -> bool
{
  return records_.Withdraw(aStream.Key());
}

auto StreamVersions::Prepare(const StreamId& aStream,
                             const std::string& aVersion, Duration aTimeLeft,
                             std::function<void()> aOnStored) -> void
{
  const auto key = aStream.Key();
  // A row of an attempt at another version may be left.
  if (IsBase(aStream.service_, aVersion) && records_.Withdraw(key)) {
    return;
  }
  mayHaveRows_ = true;
  records_.Put(key, aVersion, clock_.Now() + aTimeLeft + options_.retention_,
               std::move(aOnStored));
}

auto StreamVersions::IsKnownToAll(const StreamId& aStream,
                                  const std::string& aVersion) const -> bool
{
  const auto key = aStream.Key();
  return records_.Has(key) ? registry_.IsStored(aStream.service_, aVersion) &&
                               records_.IsStored(key, aVersion)
                           : IsBase(aStream.service_, aVersion);
}

auto StreamVersions::HasWaited(const std::string& aService,
                               const std::string& aVersion) const -> bool
{
  return Known(aService).size() == 1 && registry_.HasWaited(aService, aVersion);
}

auto StreamVersions::OnBegun(const StreamId& aStream,
                             const std::string& aVersion, Duration aTimeLeft)
  -> void
{
  if (begun_.size() < options_.maxRemembered_) {
    begun_[aStream.Key()] = { .version_ = aVersion,
                              .keepUntil_ = clock_.Now() + aTimeLeft +
                                            options_.retention_ };
  }
}

auto StreamVersions::ReadVersions(std::string aService)
  -> Task<std::optional<VersionList>>
{
  const auto read = co_await registry_.Read(aService);
  if (!read) {
    // What this host knows may be older than the stream.
    co_return std::nullopt;
  }
  mayHaveRows_ |= read->size() > 1;
  co_return read->Union(Known(aService));
}

auto StreamVersions::FindOrigin(StreamId aStream) -> Task<StreamOrigin>
{
  if (const auto own = begun_.find(aStream.Key()); own != begun_.end()) {
    co_return StreamOrigin{ .version_ = own->second.version_,
                            .source_ = "own" };
  }
  if (reads_ >= options_.maxReads_) {
    metrics_.Count("stream_reads_dropped");
    co_return StreamOrigin{ .source_ = "unknown" };
  }
  ++reads_;
  auto origin = co_await AskStore(std::move(aStream));
  --reads_;
  co_return origin;
}

auto StreamVersions::AskStore(StreamId aStream) -> Task<StreamOrigin>
{
  const StreamOrigin unknown{ .source_ = "unknown" };
  const auto versions = co_await ReadVersions(aStream.service_);
  if (!versions || versions->size() == 0) {
    co_return unknown;
  }
  if (versions->size() == 1) {
    co_return StreamOrigin{ .version_ = versions->Versions().front(),
                            .source_ = "only" };
  }
  if (aStream.attempt_.empty()) {
    co_return unknown;
  }
  const auto reply = co_await records_.Read(aStream.Key());
  if (reply.end_ != StoreOutcome::Done || !IsCurrent(reply)) {
    co_return unknown;
  }
  if (!reply.rows_.empty()) {
    co_return StreamOrigin{ .version_ = reply.rows_.front().value_,
                            .source_ = "record" };
  }
  // Hosts have yet to write the rows again.
  if (restoredAt_ && clock_.Now() - *restoredAt_ < options_.rewriteTime_) {
    co_return unknown;
  }
  co_return StreamOrigin{ .version_ = versions->Versions().front(),
                          .source_ = "base" };
}

} // namespace goldcrestcroft
