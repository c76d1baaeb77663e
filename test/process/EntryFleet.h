#pragma once

#include "../platform/PlatformStandin.h"
#include "Process.h"
#include "TempFolder.h"

#include <atomic>
#include <optional>

namespace testing {

/** \brief What a caller got. */
struct CallerAnswer
{
  /** 0 where no whole head came. */
  int status_ = 0;
  std::map<std::string, std::string> headers_;
  std::string body_;
  /** Whether the body came to its end. */
  bool whole_ = false;
};

/** \brief One request as a caller sends it, on a connection of its own. */
struct CallerCall
{
  std::string method_ = "GET";
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  /** Sent as it is, instead of all of the above. */
  std::optional<std::string> raw_;
};

/** \brief A small platform and entry hosts as processes before it. */
class EntryFleet
{
public:
  /** \brief Hosts call the store each at a door of its own, as far as there
   * are doors; aSettings are added to their settings. */
  explicit EntryFleet(std::size_t aHosts,
                      standins::PlatformStandin::Options aPlatform = {},
                      const std::string& aSettings = "");

  auto Platform() -> standins::PlatformStandin& { return platform_; }
  auto Start(std::size_t aHost) -> void;
  [[nodiscard]] auto IsReady(std::size_t aHost) const -> bool;
  auto ProcessOf(std::size_t aHost) -> Process& { return processes_[aHost]; }
  /** \brief Whether the host says within some seconds that it is ready. */
  auto AwaitReady(std::size_t aHost) -> bool;
  /** \brief Whether within some seconds all hosts know each other: two that
   * start together meet at their next look at the store. */
  auto AwaitAcquainted() -> bool;
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

  /** \brief Adds host, key, id and time to the call and sends it. */
  auto Call(std::size_t aHost, CallerCall aCall) -> CallerAnswer;
  /** \brief How often the request ran at engines of the service. */
  auto RunsOf(const std::string& aService, const std::string& aId) -> int;
  /** \brief Adds what every call has and an id of its own; for any thread. */
  auto MakeCall(const std::string& aTarget) -> CallerCall;
  [[nodiscard]] auto CallerAddress(std::size_t aHost) const -> std::string
  {
    return Port(aHost, 0);
  }
  /** \brief Sends the call and closes the connection soon after. Returns its
   * id. */
  auto Leave(std::size_t aHost, CallerCall aCall) -> std::string;
  /** \brief Connections that say nothing, open until the sockets go. */
  auto OpenConnections(std::size_t aHost, std::size_t aCount)
    -> std::vector<std::unique_ptr<goldcrestcroft::Tcp::socket>>;
  auto Get(std::size_t aHost, const std::string& aTarget) -> CallerAnswer;
  /** \brief The id of the last call. */
  [[nodiscard]] auto LastId() const -> std::string;
  auto Directory(std::size_t aHost) -> CallerAnswer;
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

/** \brief How often the part stands in the text. */
auto CountOf(const std::string& aText, const std::string& aPart) -> int;

/** \brief Sends a call and reads the answer to its end, or gives up after some
 * seconds. */
auto SendCall(const std::string& aAddress, const CallerCall& aCall)
  -> CallerAnswer;

} // namespace testing
