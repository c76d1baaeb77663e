#pragma once

#include "Process.h"
#include "TempFolder.h"

#include <doctest/doctest.h>
#include <goldcrestcroft/src/Server/Http/SimpleHttp.h>
#include <goldcrestcroft/src/Server/Load/LoadRun.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace testing {

using goldcrestcroft::HttpResponse;
using nlohmann::json;

/** \brief A request of a caller and its options. */
struct Ask
{
  std::string pipeline_ = "critique";
  std::string input_ = "hello";
  std::string key_;
  bool first_ = false;
  bool stream_ = false;
  int deadlineMilliseconds_ = 8000;
  std::string workspace_ = "gallery";
  unsigned maxTokens_ = 8;
};

/** \brief Runs entry hosts and stand-ins for the platform and the backend
 * servers as processes on loopback, for one test. */
class Fleet
{
public:
  struct Options
  {
    int hosts_ = 3;
    /** Duration of one engine step, and of one service call. */
    int engineStepMicroseconds_ = 1000;
    int serviceMicroseconds_ = 1000;
    int engines_ = 3;
    int slots_ = 16;
    int keepHostsMilliseconds_ = 500;
  };

  explicit Fleet(Options aOptions);
  ~Fleet() = default;
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  /** \brief Caller address of a host; hosts are numbered from 0. */
  [[nodiscard]] auto HostAddress(int aHost) const -> std::string;
  auto Host(int aHost) -> Process& { return hosts_.at(aHost); }
  auto StartHost(int aHost) -> void;
  /** \brief Address of a stand-in: "table", "members", "encoder-0", "engine-1",
   * "service-0" ... */
  [[nodiscard]] auto Address(const std::string& aName) const -> std::string;
  auto Standin(const std::string& aName) -> Process&
  {
    return standins_.at(aName);
  }
  auto StartStandin(const std::string& aName) -> void;
  auto SetFaults(const std::string& aName, const json& aFaults) -> void;

  /** \brief Waits until the condition holds; fails the test on timeout. */
  auto Await(const std::string& aWhat, const std::function<bool()>& aHolds)
    -> void;
  auto AwaitReady(int aHost) -> void;

  /** \brief Sends a request to a host and waits for the response. */
  [[nodiscard]] auto Send(int aHost, const Ask& aAsk) const -> HttpResponse;
  /** \brief Sends a request on a separate thread; the returned function waits
   * for the response. */
  [[nodiscard]] auto SendLater(int aHost, const Ask& aAsk) const
    -> std::function<HttpResponse()>;
  [[nodiscard]] auto Get(const std::string& aAddress,
                         const std::string& aPath) const -> HttpResponse;
  [[nodiscard]] auto Post(const std::string& aAddress, const std::string& aPath,
                          const json& aBody) const -> HttpResponse;
  [[nodiscard]] auto Patch(int aHost, std::uint64_t aBase,
                           const std::string& aAuthor,
                           const json& aOperations) const -> HttpResponse;
  [[nodiscard]] auto VersionAt(int aHost) const -> std::uint64_t;
  /** \brief How often the stand-in "service-0" ran this input. */
  [[nodiscard]] auto RunsOf(const std::string& aInput) const -> int;
  [[nodiscard]] auto MetricAt(int aHost, const std::string& aName) const
    -> double;

private:
  auto PickPort() -> int;
  auto AddStandin(const std::string& aName, const std::string& aKind,
                  std::vector<std::string> aArguments) -> void;
  auto Pool(const std::string& aKind, const std::string& aStandin, int aCount,
            json aExtra) const -> json;
  [[nodiscard]] auto Configuration() const -> json;

  Options options_;
  TempFolder folder_;
  std::vector<int> callerPorts_;
  std::vector<int> peerPorts_;
  std::map<std::string, int> standinPorts_;
  std::map<std::string, std::vector<std::string>> standinArguments_;
  std::map<std::string, Process> standins_;
  std::map<int, Process> hosts_;
};

/** \brief The outcome in a response, or a description of what is wrong with
 * it. */
auto OutcomeOf(const HttpResponse& aReply) -> std::string;
auto TextOf(const HttpResponse& aReply) -> std::string;
/** \brief The digest of an input that the stand-in engine puts into its output;
 * identifies the request that a response belongs to. */
auto DigestOf(const std::string& aInput) -> std::string;
/** \brief Converts a request to a request template of a load run. */
auto LoadRequestOf(const Ask& aAsk) -> goldcrestcroft::LoadRequest;

} // namespace testing
