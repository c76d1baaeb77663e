#include "ConfigManager.h"

#include "../../Observability/Log.h"
#include "../Http/ResponseCodec.h"
#include "ConfigRows.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace goldcrestcroft {

namespace {

using nlohmann::json;

constexpr VersionNumber kPatchesPerRead = 32;
constexpr std::size_t kRecentPatches = 256;
constexpr long kOk = 200;

} // namespace

ConfigManager::ConfigManager(const PlatformSettings& aSettings, HostId aHost,
                             Incarnation aIncarnation, HttpClient& aHttp,
                             PlatformTable& aTable, Handlers aHandlers,
                             TimePoint aNow)
  : settings_(aSettings)
  , host_(std::move(aHost))
  , incarnation_(aIncarnation)
  , http_(aHttp)
  , table_(aTable)
  , handlers_(std::move(aHandlers))
  , follower_({ .headPeriod_ = aSettings.headPeriod_ }, aNow)
{
}

auto ConfigManager::Tick(TimePoint aNow) -> void
{
  const auto actions = follower_.Tick(aNow);
  if (actions.readHead_) {
    ReadHead();
  }
  if (actions.fetchPatches_) {
    Fetch(aNow);
  }
}

auto ConfigManager::ReadHead() -> void
{
  table_.Read({ HeadKey(), SnapshotKey() }, [this](const ReadReply& aReply) {
    if (aReply.status_ != TableStatus::Done) {
      return;
    }
    VersionNumber newest = 0;
    for (const auto& row : aReply.rows_) {
      if (row.key_ == HeadKey()) {
        newest = ToNumber(row.value_);
      } else {
        snapshot_ = std::max(snapshot_, ToNumber(row.value_));
      }
    }
    follower_.OnVersionAdvertised(newest, clock_.Now());
  });
}

auto ConfigManager::OnVersionAdvertised(VersionNumber aNumber, TimePoint aNow)
  -> void
{
  follower_.OnVersionAdvertised(aNumber, aNow);
}

auto ConfigManager::ApplyPatch(const ConfigPatch& aPatch, TimePoint aNow)
  -> void
{
  const auto before = follower_.InForce()->Number();
  follower_.OnPatch(aPatch, aNow);
  const auto after = follower_.InForce()->Number();
  if (after == before) {
    return;
  }
  if (aPatch.number_ == before + 1) {
    recent_.push_back(aPatch);
  }
  if (recent_.size() > kRecentPatches) {
    recent_.pop_front();
  }
  Log::Write(
    LogLevel::Info, "configuration in force",
    { { "version", std::to_string(after) }, { "author", aPatch.author_ } });
}

auto ConfigManager::OnPatches(const std::vector<ConfigPatch>& aPatches,
                              TimePoint aNow) -> void
{
  for (const auto& patch : aPatches) {
    ApplyPatch(patch, aNow);
  }
}

auto ConfigManager::PatchesAfter(VersionNumber aVersion) const
  -> std::vector<ConfigPatch>
{
  std::vector<ConfigPatch> patches;
  auto wanted = aVersion + 1;
  for (const auto& patch : recent_) {
    if (patch.number_ == wanted && patches.size() < kPatchesPerRead) {
      patches.push_back(patch);
      ++wanted;
    }
  }
  return patches;
}

auto ConfigManager::Fetch(TimePoint) -> void
{
  const auto have = follower_.InForce()->Number();
  const auto goal = follower_.NewestKnown();
  const auto usePeer = ++fetches_ % 2 == 1;
  // Fetches alternate between peers and the platform, peers first: peers answer
  // during an outage of the platform and put no load on it at other times.
  if (have == 0 || goal - have > kSnapshotEvery) {
    const auto peer = usePeer ? handlers_.findPeer_(goal) : std::string();
    if (!peer.empty()) {
      FetchSnapshot("http://" + peer + "/v1/config");
      return;
    }
    if (snapshot_ > have && !settings_.objects_.empty()) {
      FetchSnapshot(fmt::format("http://{}/v1/objects/config-{}",
                                settings_.objects_, snapshot_));
    }
  } else if (usePeer) {
    handlers_.requestPatches_(have);
    return;
  }
  FetchFromTable();
}

auto ConfigManager::FetchFromTable() -> void
{
  const auto have = follower_.InForce()->Number();
  const auto last = std::min(follower_.NewestKnown(), have + kPatchesPerRead);
  std::vector<RowKey> keys;
  for (auto number = have + 1; number <= last; ++number) {
    keys.push_back(PatchKey(number));
  }
  table_.Read(std::move(keys), [this](const ReadReply& aReply) {
    OnPatches(DecodePatches(aReply.rows_), clock_.Now());
  });
}

auto ConfigManager::FetchSnapshot(const std::string& aUrl) -> void
{
  http_.Send(
    { .method_ = "GET", .url_ = aUrl, .timeout_ = settings_.timeout_ },
    { .onEnd_ = [this](const HttpResponse& aReply) {
      const auto body = json::parse(aReply.body_, nullptr, false);
      if (aReply.status_ != kOk || !body.is_object() ||
          !body.contains("version") || !body.contains("document")) {
        return;
      }
      Handle(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(version, ConfigVersion::FromDocument(
                                     body["version"], body["document"].dump()));
          if (follower_.OnSnapshot(version, clock_.Now())) {
            recent_.clear();
            Log::Write(LogLevel::Info, "configuration in force",
                       { { "version", std::to_string(version->Number()) },
                         { "author", "snapshot" } });
          }
          return {};
        },
        [](const Error& aError) {
          Log::Write(LogLevel::Warning, "configuration snapshot unreadable",
                     { { "reason", aError.message_ } });
        });
    } });
}

auto ConfigManager::OnHistoryRequested(HistoryRequested aAsked) -> void
{
  std::vector<RowKey> keys;
  const auto last =
    std::min(follower_.NewestKnown(), aAsked.after_ + kPatchesPerRead);
  for (auto number = aAsked.after_ + 1; number <= last; ++number) {
    keys.push_back(PatchKey(number));
  }
  const auto asked = std::make_shared<HistoryRequested>(std::move(aAsked));
  table_.Read(std::move(keys), [asked](const ReadReply& aReply) {
    if (aReply.status_ != TableStatus::Done) {
      asked->reply_.Send(
        BuildResponse(Refusal({ .kind_ = ErrorKind::Unavailable,
                                .message_ = "the table service does not answer",
                                .remedy_ = "come back after the time given" },
                              std::chrono::seconds{ 2 }),
                      { .request_ = asked->request_ }));
      return;
    }
    auto list = json::array();
    for (const auto& patch : DecodePatches(aReply.rows_)) {
      list.push_back(
        { { "version", patch.number_ },
          { "author", patch.author_ },
          { "operations", json::parse(patch.operations_, nullptr, false) } });
    }
    asked->reply_.Send({ .body_ = json{ { "patches", list } }.dump() });
  });
}

} // namespace goldcrestcroft
