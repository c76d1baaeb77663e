#include "RestoreWorld.h"

#include <algorithm>

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto kPoll = milliseconds{ 200 };
constexpr auto kGossip = milliseconds{ 200 };
constexpr std::size_t kLatePerMille = 30;
/** Changes end this long before the end, so that everything settles. */
constexpr auto kSettles = seconds{ 16 };

/** Rows of engines are "START draining" or "START ready". */
auto Decode(const std::string& aId, const std::string& aText)
  -> Result<EngineEntry>
{
  return EngineEntry{ .id_ = aId,
                      .service_ = "s",
                      .draining_ = aText.ends_with("draining"),
                      .startedAt_ = std::stoull(aText) };
}

} // namespace

RestoreWorld::Host::Host()
  : registry_({ .decode_ = Decode })
{
}

RestoreWorld::RestoreWorld(Options aOptions)
  : VirtualWorld(aOptions.seed_)
  , options_(aOptions)
  , begin_(clock_.Now())
  , engines_(aOptions.engines_)
  , born_(aOptions.engines_)
{
  contents_.configuration_.key_ = "config";
  Write(contents_.configuration_, std::to_string(++configuration_));
  for (std::size_t i = 0; i < options_.engines_; ++i) {
    WriteEngine(i);
  }
  for (std::size_t i = 0; i < options_.hosts_; ++i) {
    hosts_.push_back(std::make_unique<Host>());
  }
}

auto RestoreWorld::Simulate() -> Outcome
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    After(Between(0, 200), [this, i] { Poll(i); });
    After(Between(0, 200), [this, i] { Gossip(i); });
  }
  After(milliseconds{ 1000 }, [this] { Disturb(); });
  const auto changes = options_.duration_ - kSettles;
  for (std::size_t i = 0; i < options_.restores_; ++i) {
    const auto ms = static_cast<int>(ToMilliseconds(changes));
    After(Between(2000, ms), [this] { Restore(); });
  }
  After(changes + seconds{ 1 }, [this] {
    RewriteAll();
    for (auto& host : hosts_) {
      host->cutOff_ = false;
    }
  });
  RunUntil(begin_ + options_.duration_);
  outcome_.hostsBehind_ = static_cast<std::size_t>(
    std::count_if(hosts_.begin(), hosts_.end(),
                  [&](const auto& aHost) { return IsBehind(*aHost); }));
  return outcome_;
}

auto RestoreWorld::IsBehind(const Host& aHost) const -> bool
{
  std::map<std::string, std::string> used;
  for (const auto& engine : aHost.registry_.Engines()) {
    used[engine.id_] = std::to_string(engine.startedAt_) +
                       (engine.draining_ ? " draining" : " ready");
  }
  std::map<std::string, std::string> written;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (!engines_[i].empty()) {
      written[IdOf(i)] = engines_[i];
    }
  }
  return aHost.view_.Version() != configuration_ || used != written;
}

auto RestoreWorld::Disturb() -> void
{
  if (clock_.Now() - begin_ >= options_.duration_ - kSettles) {
    return;
  }
  switch (Random(6)) {
    case 0:
      // A storm of versions.
      for (auto i = 0; i < 20; ++i) {
        Write(contents_.configuration_, std::to_string(++configuration_));
      }
      break;
    case 1:
      Write(contents_.configuration_, std::to_string(++configuration_));
      break;
    case 2: {
      auto& host = *hosts_[Random(hosts_.size())];
      host.cutOff_ = !host.cutOff_;
      break;
    }
    case 3: {
      auto& host = hosts_[Random(hosts_.size())];
      const auto incarnation = host->incarnation_ + 1;
      host = std::make_unique<Host>();
      host->incarnation_ = incarnation;
      break;
    }
    default:
      WriteEngine(Random(engines_.size()));
  }
  After(Between(20, 700), [this] { Disturb(); });
}

auto RestoreWorld::Poll(std::size_t aHost) -> void
{
  auto& host = *hosts_[aHost];
  After(kPoll, [this, aHost] { Poll(aHost); });
  if (host.cutOff_) {
    host.registry_.OnStoreFailure(clock_.Now());
    return;
  }
  outcome_.fullReads_ += host.read_ ? 0 : 1;
  const auto late = Random(1000) < kLatePerMille;
  After(
    late ? Between(1000, 4000) : Between(2, 60),
    [this, aHost, reply = Serve(host.read_), incarnation = host.incarnation_] {
      auto& receiver = *hosts_[aHost];
      if (receiver.incarnation_ == incarnation) {
        OnReply(receiver, reply);
      }
    });
}

auto RestoreWorld::LearnEra(Host& aHost, std::uint64_t aEra) -> void
{
  if (aEra > aHost.era_) {
    aHost.era_ = aEra;
    aHost.read_.reset();
    aHost.registry_.OnStoreFailure(clock_.Now());
  }
}

auto RestoreWorld::OnReply(Host& aHost, const Reply& aReply) -> void
{
  const auto era = aReply.version_.era_;
  if (era < aHost.era_) {
    return;
  }
  LearnEra(aHost, era);
  if (aReply.historyDropped_ || (!aReply.whole_ && !aHost.read_)) {
    aHost.read_.reset();
    return;
  }
  if (aReply.whole_) {
    aHost.registry_.ApplyAll(aReply.engines_, aReply.version_, clock_.Now());
  } else {
    aHost.registry_.Apply(aReply.engines_, clock_.Now());
  }
  for (const auto& row : aReply.configuration_) {
    if (aHost.view_.MayBeNew(row)) {
      Adopt(aHost, row);
    }
  }
  aHost.read_ = std::max(aHost.read_.value_or(StoreVersion{}), aReply.version_);
  CheckEngines(aHost);
}

auto RestoreWorld::Adopt(Host& aHost, const StoreRow& aRow) -> void
{
  const auto before = aHost.view_.Version();
  aHost.view_.Adopt(aRow, std::stoull(aRow.value_));
  outcome_.undoneConfigurations_ += aHost.view_.Version() < before ? 1 : 0;
}

auto RestoreWorld::CheckEngines(Host& aHost) -> void
{
  aHost.registry_.Tick(clock_.Now());
  for (const auto& engine : aHost.registry_.Engines()) {
    const auto incarnation =
      engine.id_ + " " + std::to_string(engine.startedAt_);
    if (engine.draining_) {
      aHost.drains_.insert(incarnation);
    } else {
      outcome_.undoneDrains_ += aHost.drains_.erase(incarnation);
    }
  }
}

auto RestoreWorld::Gossip(std::size_t aHost) -> void
{
  const auto to = (aHost + 1 + Random(hosts_.size() - 1)) % hosts_.size();
  After(Between(1, 60), [this, aHost, to] {
    auto& host = *hosts_[to];
    const auto& peer = *hosts_[aHost];
    const auto& row = peer.view_.Row().version_;
    LearnEra(host, std::max(row.era_, peer.registry_.Version().era_));
    const auto asks = host.view_.OnPeer(row, peer.view_.Version());
    if (asks || peer.registry_.Version() > host.registry_.Version()) {
      Fetch(host, peer);
    }
    CheckEngines(host);
  });
  After(kGossip, [this, aHost] { Gossip(aHost); });
}

auto RestoreWorld::Fetch(Host& aHost, const Host& aPeer) -> void
{
  ++outcome_.fetches_;
  const auto& known = aHost.registry_.Version();
  const auto& version = aPeer.registry_.Version();
  const auto rows = aPeer.registry_.RowsAfter(known);
  if (known.era_ < version.era_) {
    aHost.registry_.ApplyAll(rows, version, clock_.Now());
  } else {
    aHost.registry_.Apply(rows, clock_.Now());
  }
  if (aPeer.view_.IsNewerThan(aHost.view_.Row().version_,
                              aHost.view_.Version())) {
    Adopt(aHost, aPeer.view_.Row());
  }
}

} // namespace testing
