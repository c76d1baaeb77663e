#pragma once

#include "EarlyResponse.h"
#include "EndlessStandin.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace standins {

using Request =
  goldcrestcroft::http::request<goldcrestcroft::http::string_body>;

/** \brief What follows bytes that are sent verbatim. */
enum class RawEnd
{
  /** The connection is closed in order. */
  Closes,
  /** The connection is reset. */
  Resets,
  /** As when a process exits: the server stops accepting, and all its
   * connections are closed in order. It accepts again after a while. */
  Exits
};

/** \brief A response without a length and without chunks. */
struct UnframedBody
{
  /** The response is broken off after this many bytes of its body; complete if
   * absent. */
  std::optional<std::size_t> bytes_;
  /** How it ends if it is broken off. */
  RawEnd end_ = RawEnd::Closes;
};

/** \brief How a stand-in responds to a request. */
struct ResponsePlan
{
  int status_ = 200;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  std::chrono::milliseconds delay_{ 0 };
  /** Body parts that are sent as HTTP chunks, with a pause before each. */
  std::vector<std::string> chunks_;
  std::chrono::milliseconds pause_{ 0 };
  /** Pause before the third chunk, in place of pause_. */
  std::chrono::milliseconds stall_{ 0 };
  /** The connection is closed without a response. */
  bool drops_ = false;
  /** The connection is closed in the middle of the response. */
  bool truncates_ = false;
  /** A response to another request, with this request id, is sent first. */
  std::optional<std::string> strayId_;
  /** A duplicate of the connection's previous response is sent first. */
  bool duplicatesLast_ = false;
  /** Whether that duplicate carries the request id. */
  bool duplicateHasId_ = true;
  /** Bytes sent verbatim in place of a response, followed by rawEnd_ after a
   * pause. */
  std::optional<std::string> raw_;
  RawEnd rawEnd_ = RawEnd::Closes;
  std::chrono::milliseconds rawPause_{ 0 };
  /** How the body is sent instead of with a length or in chunks. */
  std::optional<UnframedBody> unframed_;
  /** Sent in place of all of the above, unless drops_ is set. */
  std::optional<EndlessBytes> endless_;
  /** Called once the whole response is written. */
  std::function<void()> onDone_;
};

/** \brief An HTTP server for stand-ins that runs on its owner's context. */
class HttpServer
{
public:
  using Handler =
    std::function<goldcrestcroft::Task<ResponsePlan>(Request aRequest)>;
  /** Called with the head of each request. If it returns a response, the
   * request is neither read to its end nor handled. */
  using HeadHandler =
    std::function<std::optional<EarlyResponse>(const Request& aHead)>;

  HttpServer(
    goldcrestcroft::asio::io_context& aContext, const std::string& aAddress,
    Handler aHandler,
    HeadHandler aHeadHandler = [](const Request&) { return std::nullopt; });

  /** \brief Resets all connections and stops accepting. This function and the
   * next two must be called on the context. */
  auto Close() -> void;
  /** \brief Accepts connections again. */
  auto Open() -> void;
  /** \brief Stops handling requests and sending responses until Close. */
  auto StopResponding() -> void { silent_ = true; }

  /** \brief Number of requests that were reset without being handled because
   * their connection had exceeded the idle timeout. */
  [[nodiscard]] auto IdleResets() const -> std::size_t { return idleResets_; }

  /** \brief Number of callers that disconnected before their response. */
  [[nodiscard]] auto Abandoned() const -> std::size_t { return abandoned_; }

  /** \brief Number of endless responses that the caller has not closed yet. */
  [[nodiscard]] auto EndlessOpen() const -> std::size_t
  {
    return endless_.Open();
  }

  /** Connections beyond this number are reset as soon as they are accepted. */
  std::atomic<std::size_t> maxConnections_ = 1000;
  /** Idle timeout in milliseconds; none if negative. If a connection has been
   * idle for longer after a response, the next request on it is reset. */
  std::atomic<int> idleTimeoutMs_ = -1;

private:
  auto Accept() -> goldcrestcroft::Task<void>;
  auto Serve(std::shared_ptr<goldcrestcroft::Tcp::socket> aSocket)
    -> goldcrestcroft::Task<void>;
  auto ExitAndRestart() -> goldcrestcroft::Task<void>;
  auto WriteRaw(goldcrestcroft::Tcp::socket& aSocket,
                const ResponsePlan& aReaction) -> goldcrestcroft::Task<void>;
  /** \brief Returns whether the response was written completely. */
  auto WriteUnframed(goldcrestcroft::Tcp::socket& aSocket,
                     const ResponsePlan& aReaction)
    -> goldcrestcroft::Task<bool>;
  /** \brief Ends the connection, or with Exits all of them. */
  auto End(goldcrestcroft::Tcp::socket& aSocket, RawEnd aEnd)
    -> goldcrestcroft::Task<void>;
  [[nodiscard]] auto ExceedsIdleTimeout(goldcrestcroft::Duration aIdle) const
    -> bool
  {
    return idleTimeoutMs_ >= 0 &&
           aIdle > std::chrono::milliseconds{ idleTimeoutMs_ };
  }
  /** \brief Waits while the server is silent; returns whether the connection is
   * still open afterwards. */
  auto AwaitOpen(const goldcrestcroft::Tcp::socket& aSocket)
    -> goldcrestcroft::Task<bool>;

  goldcrestcroft::asio::io_context& context_;
  Handler handler_;
  HeadHandler headHandler_;
  goldcrestcroft::Tcp::endpoint address_;
  goldcrestcroft::Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<goldcrestcroft::Tcp::socket>> sockets_;
  bool silent_ = false;
  std::size_t connections_ = 0;
  std::atomic<std::size_t> abandoned_ = 0;
  std::atomic<std::size_t> idleResets_ = 0;
  EndlessStandin endless_;
};

} // namespace standins
