#pragma once

#include "EntryFleet.h"

#include <future>

namespace testing {

/** \brief Entry hosts in front of model engines of several software versions;
 * the data of each event begins with the version of the engine that sent it. */
class VersionedFleet
{
public:
  using Engine = standins::EngineStandin;

  /** \brief One engine for each of the versions. */
  VersionedFleet(std::size_t aHosts, const std::vector<std::string>& aVersions,
                 standins::PlatformStandin::Options aPlatform = {})
    : fleet_(aHosts, WithEngines(aPlatform, aVersions.size()))
    , hosts_(aHosts)
  {
    // No host sees the engines without a version.
    KillAll();
    SetVersions(aVersions);
    Store().Remove("stream_versions", "model");
    for (std::size_t host = 0; host < hosts_; ++host) {
      fleet_.Start(host);
    }
  }

  auto Entries() -> EntryFleet& { return fleet_; }
  auto Store() -> standins::StoreStandin& { return fleet_.Platform().Store(); }
  auto Engines() -> std::vector<std::unique_ptr<Engine>>&
  {
    return fleet_.Platform().Engines("model");
  }
  /** \brief Replaces all engines; an empty version stops one. */
  auto SetVersions(const std::vector<std::string>& aVersions) -> void
  {
    for (std::size_t i = 0; i < aVersions.size(); ++i) {
      auto& engine = *Engines()[i];
      if (aVersions[i].empty()) {
        Store().Remove("servers", engine.Id());
        continue;
      }
      engine.SetVersion(aVersions[i]);
      engine.Restart();
      Store().Put("servers", engine.Id(), engine.Entry("model"));
    }
    std::this_thread::sleep_for(kPropagation);
  }
  auto AwaitReady() -> bool
  {
    auto ready = true;
    for (std::size_t host = 0; host < hosts_; ++host) {
      ready = ready && fleet_.AwaitReady(host);
    }
    std::this_thread::sleep_for(kPropagation);
    return ready;
  }
  auto KillAll() -> void
  {
    for (std::size_t host = 0; host < hosts_; ++host) {
      fleet_.ProcessOf(host).Kill();
    }
  }
  auto StartAll() -> bool
  {
    for (std::size_t host = 0; host < hosts_; ++host) {
      fleet_.Start(host);
    }
    return AwaitReady();
  }

  /** \brief A stream as a client knows it. */
  struct Stream
  {
    /** The attempt that brought the first event. */
    std::string attempt_;
    std::string body_;
    CallerResponse last_;

    /** \brief The version of the first event. */
    [[nodiscard]] auto Version() const -> std::string
    {
      const auto begin = body_.find("data: ") + 6;
      return body_.substr(begin, body_.find(' ', begin) - begin);
    }
    [[nodiscard]] auto HasEvents() const -> bool
    {
      return body_.find("data: ") != std::string::npos;
    }
    [[nodiscard]] auto HasOneVersion() const -> bool
    {
      return CountOf(body_, "data: ") ==
             CountOf(body_, "data: " + Version() + " ");
    }
    /** \brief Whether it has each of its events once. */
    [[nodiscard]] auto IsWhole() const -> bool
    {
      auto whole = last_.whole_;
      for (auto i = 1; i <= kEvents; ++i) {
        whole = whole && CountOf(body_, "id: " + std::to_string(i) + "\n") == 1;
      }
      return whole;
    }
  };

  auto Begin(std::size_t aHost) -> Stream
  {
    Stream stream;
    stream.last_ = fleet_.Get(aHost, "/stream/x");
    stream.attempt_ = fleet_.LastId();
    stream.body_ = stream.last_.body_;
    return stream;
  }
  /** \brief Begins streams at the same time. */
  auto BeginAtOnce(std::size_t aHost, std::size_t aCount)
    -> std::vector<std::future<Stream>>
  {
    std::vector<std::future<Stream>> streams;
    for (; aCount > 0; --aCount) {
      streams.push_back(std::async(
        std::launch::async, [this, aHost, call = fleet_.MakeCall("/stream/x")] {
          Stream stream;
          stream.attempt_ = call.headers_.at("Goldcrestcroft-Request-Id");
          stream.last_ = SendCall(fleet_.CallerAddress(aHost), call);
          stream.body_ = stream.last_.body_;
          return stream;
        }));
    }
    return streams;
  }
  /** \brief Begins streams whose engines break off each attempt. */
  auto BeginBroken(std::size_t aHost, std::size_t aCount) -> std::vector<Stream>
  {
    SetTrouble(Engine::Trouble::Truncates);
    std::vector<Stream> streams;
    for (; aCount > 0; --aCount) {
      streams.push_back(Begin(aHost));
    }
    SetTrouble(Engine::Trouble::None);
    return streams;
  }
  /** \brief Asks for the rest of the stream. */
  auto TakeUp(std::size_t aHost, Stream& aStream, bool aNamesAttempt = true)
    -> CallerResponse
  {
    CallerCall call{ .target_ = "/stream/x" };
    const auto last = aStream.body_.rfind("id: ") + 4;
    call.headers_["Last-Event-Id"] =
      aStream.body_.substr(last, aStream.body_.find('\n', last) - last);
    if (aNamesAttempt) {
      call.headers_["Resumes"] = aStream.attempt_;
    }
    aStream.last_ = fleet_.Call(aHost, call);
    if (aStream.last_.status_ == 200) {
      aStream.body_ += aStream.last_.body_;
    }
    return aStream.last_;
  }
  /** \brief Number of requests that engines have received, without health
   * checks, which hosts send on their own after engines have failed. */
  auto Received() -> std::size_t
  {
    std::size_t received = 0;
    for (const auto& engine : Engines()) {
      received += engine->ReceivedCount() - engine->HealthCheckCount();
    }
    return received;
  }
  auto SetTrouble(Engine::Trouble aTrouble) -> void
  {
    fleet_.Platform().SetFaultMode("model", aTrouble);
  }

private:
  static constexpr auto kEvents = 6;
  /** All hosts know a change of the engines after this. */
  static constexpr std::chrono::milliseconds kPropagation{ 700 };

  static auto WithEngines(standins::PlatformStandin::Options aOptions,
                          std::size_t aEngines)
    -> standins::PlatformStandin::Options
  {
    aOptions.enginesPerService_ = aEngines;
    return aOptions;
  }

  EntryFleet fleet_;
  std::size_t hosts_;
};

} // namespace testing
