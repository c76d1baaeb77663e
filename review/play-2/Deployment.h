#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace play {

/** \brief The record of a run: one line for each thing sent, answered or run,
 * with the milliseconds since the start. Written by several processes. */
class Record
{
public:
  auto Open(const std::string& aFile) -> void;
  auto Line(const std::string& aWho, const std::string& aWhat) const -> void;
  [[nodiscard]] auto Lines() const -> std::vector<std::string>;

private:
  std::string file_;
  int fd_ = -1;
  std::int64_t startedAt_ = 0;
};

auto TheRecord() -> Record&;

struct Request
{
  std::string method_;
  std::string target_;
  /** Names in lower case. */
  std::map<std::string, std::string> headers_;
  std::string body_;

  [[nodiscard]] auto Header(const std::string& aName) const -> std::string;
};

/** \brief A connected socket with a read buffer. */
class Connection
{
public:
  explicit Connection(int aFd)
    : fd_(aFd)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto Write(const std::string& aBytes) const -> bool;
  /** \brief Waits at most this long for each further read; 0 is for ever. */
  auto SetTimeout(std::chrono::milliseconds aTime) -> void;
  /** \brief Reads up to and including the end mark; empty at the end of the
   * connection or after the timeout. */
  auto ReadUntil(const std::string& aMark) -> std::string;
  auto ReadExactly(std::size_t aBytes) -> std::optional<std::string>;
  /** \brief What has arrived and was not taken yet, after one more read. */
  auto ReadRest() -> std::string;

private:
  auto Fill() -> bool;

  int fd_;
  std::string buffer_;
};

auto Connect(const std::string& aIp, int aPort) -> std::unique_ptr<Connection>;

struct Response
{
  /** 0 if there was no readable head. */
  int status_ = 0;
  std::string head_;
  std::string body_;
  /** Whether the body was complete as its head says. */
  bool complete_ = false;
  std::string problem_;
};

/** \brief Reads a response as RFC 9112 says; aHasNoBody after HEAD. */
auto ReadResponse(Connection& aConnection, bool aHasNoBody) -> Response;

/** \brief Serves HTTP/1.1 with one thread for each connection. aHandle writes
 * the response; it returns whether the connection stays open. */
using Handler = std::function<bool(Connection&, const Request&)>;
auto Serve(const std::string& aIp, int aPort, Handler aHandle) -> void;

/** \brief The platform's store, as PROTOCOL.md says. */
class Store
{
public:
  auto Start(const std::string& aIp, int aPort) -> void;
  /** \brief A write of the operator or of an engine; none removes the row. */
  auto Put(const std::string& aTable, const std::string& aKey,
           std::optional<std::string> aValue) -> void;

private:
  struct Row
  {
    std::optional<std::string> value_;
    std::uint64_t version_ = 0;
  };
  using Key = std::pair<std::string, std::string>;

  auto Handle(Connection& aConnection, const Request& aRequest) -> bool;
  auto Rows(const std::string& aTable, std::uint64_t aAfter,
            bool aRemoved) const -> std::string;
  auto Transact(const std::string& aBody, std::string& aReply) -> int;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
};

struct Engine
{
  std::string id_;
  std::string service_;
  std::string ip_;
  int port_ = 0;
  std::string zone_;
  int slots_ = 6;
  /** Whether it is an engine of this deployment, with an entry in the store. */
  bool listed_ = true;
  pid_t pid_ = 0;

  [[nodiscard]] auto Entry(const std::string& aState) const -> std::string;
};

struct Host
{
  std::string name_;
  std::string ip_;
  std::string zone_;
  pid_t pid_ = 0;
};

/** \brief Three entry hosts with the settings of the machines of Tumen Craft,
 * a store, and engines as processes of their own. */
class Deployment
{
public:
  static constexpr int kCallers = 8625;
  static constexpr int kReady = 8621;
  static constexpr int kDirectory = 8620;
  static constexpr int kStore = 8624;

  /** \brief aPlan serves one request at an engine; it runs in the engine's
   * process. */
  using EnginePlan =
    std::function<bool(const Engine&, Connection&, const Request&)>;

  explicit Deployment(EnginePlan aPlan);
  ~Deployment();

  auto AddEngines(const std::string& aService, int aCount, int aSlots) -> void;
  /** \brief A server of another system, which looks at no header. */
  auto AddForeignServer(const std::string& aName) -> void;
  /** \brief Starts all processes; false if the hosts do not become ready. */
  auto Start(const std::string& aConfig) -> bool;
  auto SetConfig(const std::string& aConfig) -> void;
  auto Engines() -> std::vector<Engine>& { return engines_; }
  auto Hosts() -> std::vector<Host>& { return hosts_; }
  auto TheStore() -> Store& { return store_; }
  [[nodiscard]] auto IsReady(const Host& aHost) const -> bool;
  /** \brief Waits for 15 s until the host says that it is ready. */
  [[nodiscard]] auto AwaitReady(const Host& aHost) const -> bool;
  /** \brief Memory that the host's process holds. */
  [[nodiscard]] auto ResidentBytes(const Host& aHost) const -> std::size_t;
  /** \brief What the platform does with a process over its memory. */
  auto KillAndRestart(Host& aHost) -> void;

private:
  auto PickAddresses() -> bool;
  auto StartHost(Host& aHost) -> void;

  EnginePlan plan_;
  std::string prefix_;
  std::string folder_;
  std::vector<Engine> engines_;
  std::vector<Host> hosts_;
  /** Never destroyed, since its threads serve until the process ends. */
  Store& store_ = *new Store;
};

/** \brief Seconds and milliseconds of this machine. */
auto SleepMs(int aMilliseconds) -> void;

/** \brief Whether the case is to be played with its disruption. */
auto WithTrouble() -> bool;

/** \brief Ends an engine's process in order between two writes of events. */
auto WriteLocked(Connection& aConnection, const std::string& aBytes) -> bool;

/** \brief Headers that every request of the cases carries. */
auto CallerHead(const std::string& aMethod, const std::string& aTarget,
                const std::string& aId, int aDeadlineMs) -> std::string;

/** \brief A success of an engine with a length. */
auto Answer(const Engine& aEngine, const Request& aRequest,
            const std::string& aBody) -> std::string;

/** \brief A configuration with these routes and services, as JSON. */
auto MakeConfig(int aVersion, const std::string& aRoutes,
                const std::string& aServices) -> std::string;

} // namespace play
