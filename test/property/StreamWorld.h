#pragma once

#include "VersionStore.h"

#include <goldcrestcroft/src/Gateway/EventLoop.h>
#include <goldcrestcroft/src/Gateway/StreamVersions.h>

#include <memory>

namespace testing {

inline const std::string kService = "model";

/** \brief Hosts that begin streams and take up those of others, while versions
 * come and go and hosts are replaced. */
class StreamWorld
{
public:
  using StreamId = goldcrestcroft::StreamId;
  using StreamOrigin = goldcrestcroft::StreamOrigin;
  using StreamVersions = goldcrestcroft::StreamVersions;
  using EngineEntry = goldcrestcroft::EngineEntry;

  struct Stream
  {
    StreamId id_;
    std::string version_;
    /** The host that began it, until hosts are replaced. */
    std::size_t host_ = 0;
  };

  explicit StreamWorld(unsigned aSeed)
    : store_(context_, aSeed)
  {
    for (auto i = 0U; i < kHosts; ++i) {
      StartHost();
    }
  }
  ~StreamWorld() { context_.DestroyHandlers(); }
  StreamWorld(const StreamWorld&) = delete;
  auto operator=(const StreamWorld&) -> StreamWorld& = delete;

  auto Store() -> VersionStore& { return store_; }
  auto Host(std::size_t aHost) -> StreamVersions& { return *hosts_[aHost]; }
  auto Run(std::chrono::microseconds aTime) -> void
  {
    context_.restart();
    context_.run_for(aTime);
  }
  auto SetVersions(const std::vector<std::string>& aVersions) -> void
  {
    versions_ = aVersions;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      // Hosts learn of a change at different times.
      Run(std::chrono::microseconds{ store_.Draw(2000) });
      ShowEngines(host);
    }
  }
  /** \brief A host is killed, and another one starts. */
  auto ReplaceHost(std::size_t aHost) -> void
  {
    gone_.push_back(std::move(hosts_[aHost]));
    hosts_.erase(hosts_.begin() + static_cast<std::ptrdiff_t>(aHost));
    StartHost();
  }
  auto ReplaceAll() -> void
  {
    for (auto i = 0U; i < kHosts; ++i) {
      ReplaceHost(0);
    }
  }
  /** \brief Begins a stream at a random host and engine; none if the store does
   * not confirm its version. */
  auto Begin() -> std::optional<Stream>
  {
    const std::size_t number = store_.Draw(kHosts);
    auto& host = *hosts_[number];
    const auto version =
      versions_[store_.Draw(static_cast<unsigned>(versions_.size()))];
    const StreamId id{ .service_ = kService,
                       .workspace_ = "w",
                       .attempt_ = std::to_string(++streams_) };
    host.Prepare(id, version, std::chrono::seconds{ 5 }, [] {});
    for (auto i = 0; i < 40 && !host.IsKnownToAll(id, version); ++i) {
      Run(std::chrono::milliseconds{ 5 });
    }
    if (!host.IsKnownToAll(id, version)) {
      return std::nullopt;
    }
    host.OnBegun(id, version, std::chrono::seconds{ 5 });
    return Stream{ .id_ = id, .version_ = version, .host_ = number };
  }
  auto FindOrigin(const Stream& aStream) -> StreamOrigin
  {
    return FindOriginAt(store_.Draw(kHosts), aStream);
  }
  auto FindOriginAt(std::size_t aHost, const Stream& aStream) -> StreamOrigin
  {
    auto& host = *hosts_[aHost];
    std::optional<StreamOrigin> origin;
    goldcrestcroft::asio::co_spawn(
      context_,
      [&]() -> goldcrestcroft::Task<void> {
        origin = co_await host.FindOrigin(aStream.id_);
      },
      goldcrestcroft::asio::detached);
    while (!origin) {
      Run(std::chrono::milliseconds{ 1 });
    }
    return *origin;
  }

  static constexpr unsigned kHosts = 3;

private:
  auto StartHost() -> void
  {
    const auto number = ++started_;
    hosts_.push_back(std::make_unique<StreamVersions>(
      context_,
      StreamVersions::Options{ .host_ = "h" + std::to_string(number),
                               .hosts_ = [] { return kHosts; },
                               .removes_ = [] { return false; } },
      store_, metrics_));
    ShowEngines(hosts_.size() - 1);
  }
  auto ShowEngines(std::size_t aHost) -> void
  {
    std::vector<EngineEntry> entries;
    for (const auto& version : versions_) {
      entries.push_back({ .id_ = "e" + version,
                          .service_ = kService,
                          .zone_ = "z",
                          .version_ = version });
    }
    hosts_[aHost]->OnEngines(goldcrestcroft::EngineList(entries), { kService });
  }

  goldcrestcroft::EventLoop context_;
  goldcrestcroft::GatewayMetrics metrics_;
  VersionStore store_;
  std::vector<std::string> versions_{ "v1" };
  std::vector<std::unique_ptr<StreamVersions>> hosts_;
  /** Their calls end later. */
  std::vector<std::unique_ptr<StreamVersions>> gone_;
  unsigned started_ = 0;
  unsigned streams_ = 0;
};

} // namespace testing
