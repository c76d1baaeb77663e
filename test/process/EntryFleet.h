#pragma once

#include "../platform/PlatformStandin.h"
#include "Process.h"
#include "TempFolder.h"

#include <atomic>
#include <optional>

namespace testing {

/** \brief The response that a caller received. */
struct CallerResponse
{
  /** 0 if no complete head arrived. */
  int status_ = 0;
  std::map<std::string, std::string> headers_;
  std::string body_;
  /** Whether the body arrived completely. */
  bool whole_ = false;
};

/** \brief A request as a caller sends it, on its own connection. */
struct CallerCall
{
  std::string method_ = "GET";
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  /** Sent unchanged instead of all of the above. */
  std::optional<std::string> raw_;
};

/** \brief A small platform and entry hosts in front of it, each in a process.
 */
class EntryFleet
{
public:
  /** \brief Each host calls the store through its own door, as far as there are
   * doors; aSettings is appended to the settings of each host. */
  explicit EntryFleet(std::size_t aHosts,
                      standins::PlatformStandin::Options aPlatform = {},
                      const std::string& aSettings = "");

  auto Platform() -> standins::PlatformStandin& { return platform_; }
  auto Start(std::size_t aHost) -> void;
  /** \brief Like Start; the host writes its log to this file. */
  auto StartWithLog(std::size_t aHost, const std::string& aLog) -> void;
  [[nodiscard]] auto IsReady(std::size_t aHost) const -> bool;
  auto ProcessOf(std::size_t aHost) -> Process& { return processes_[aHost]; }
  /** \brief Whether the host reports within some seconds that it is ready. */
  auto AwaitReady(std::size_t aHost) -> bool;
  /** \brief Whether within some seconds all hosts have discovered each other;
   * two hosts that start together do so at their next read of the store. */
  auto AwaitDiscovery() -> bool;
  /** \brief Whether the condition holds within some seconds. */
  template<typename Condition>
  static auto Await(Condition aCondition) -> bool
  {
    constexpr auto kTries = 400;
    for (auto i = 0; i < kTries; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
    return false;
  }

  /** \brief Adds host, API key, id and deadline to the call and sends it. */
  auto Call(std::size_t aHost, CallerCall aCall) -> CallerResponse;
  /** \brief How often the request was executed at engines of the service. */
  auto RunsOf(const std::string& aService, const std::string& aId) -> int;
  /** \brief Adds the headers that every call has and a new id.
   * Thread-safe. */
  auto MakeCall(const std::string& aTarget) -> CallerCall;
  [[nodiscard]] auto CallerAddress(std::size_t aHost) const -> std::string
  {
    return Port(aHost, 0);
  }
  /** \brief Sends the call and closes the connection soon after. Returns its
   * id. */
  auto Leave(std::size_t aHost, CallerCall aCall) -> std::string;
  /** \brief Opens connections that send nothing; they stay open until the
   * sockets are destroyed. */
  auto OpenConnections(std::size_t aHost, std::size_t aCount)
    -> std::vector<std::unique_ptr<goldcrestcroft::Tcp::socket>>;
  auto Get(std::size_t aHost, const std::string& aTarget) -> CallerResponse;
  /** \brief The id of the last call. */
  [[nodiscard]] auto LastId() const -> std::string;
  auto Directory(std::size_t aHost) -> CallerResponse;
  [[nodiscard]] auto Log(std::size_t aHost) const -> std::string;
  /** \brief Kills the host and starts it with its settings changed. */
  auto RestartWith(std::size_t aHost, const std::string& aOld,
                   const std::string& aNew) -> void;
  /** \brief Replaces text in the host's settings file. */
  auto ChangeSettings(std::size_t aHost, const std::string& aOld,
                      const std::string& aNew) const -> void;

private:
  auto Complete(CallerCall aCall) -> CallerCall;
  auto Port(std::size_t aHost, unsigned aUse) const -> std::string;

  standins::PlatformStandin platform_;
  TempFolder folder_;
  std::vector<Process> processes_;
  goldcrestcroft::asio::io_context context_;
  std::atomic<unsigned> calls_ = 0;
};

/** \brief How often the part occurs in the text. */
auto CountOf(const std::string& aText, const std::string& aPart) -> int;

/** \brief Sends a call and reads the response to its end, or times out after
 * some seconds. */
auto SendCall(const std::string& aAddress, const CallerCall& aCall)
  -> CallerResponse;

} // namespace testing
