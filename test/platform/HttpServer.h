#pragma once

#include "EndlessStandin.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace standins {

using Request =
  goldcrestcroft::http::request<goldcrestcroft::http::string_body>;

/** \brief What a stand-in does with a request. */
struct Reaction
{
  int status_ = 200;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  std::chrono::milliseconds delay_{ 0 };
  /** Parts of a body that is sent in chunks, with a pause before each. */
  std::vector<std::string> chunks_;
  std::chrono::milliseconds pause_{ 0 };
  /** Longer pause before the third of them. */
  std::chrono::milliseconds stall_{ 0 };
  /** Closed without an answer. */
  bool drops_ = false;
  /** Closed in the middle of the answer. */
  bool cuts_ = false;
  /** An answer to another request is sent before it. */
  std::optional<std::string> strayId_;
  /** A second copy of the connection's answer before is sent before it. */
  bool repeatsLast_ = false;
  /** Whether that copy says whose answer it is. */
  bool repeatsId_ = true;
  /** Sent as it is in place of an answer, and closed. */
  std::optional<std::string> raw_;
  /** The connection is reset after these bytes. */
  bool resets_ = false;
  /** Sent in place of all of the above. */
  std::optional<EndlessBytes> endless_;
  /** Called once its whole answer is written. */
  std::function<void()> onDone_;
};

/** \brief An HTTP server for stand-ins, on its owner's context. */
class HttpServer
{
public:
  using Handler =
    std::function<goldcrestcroft::Task<Reaction>(Request aRequest)>;

  HttpServer(goldcrestcroft::asio::io_context& aContext,
             const std::string& aAddress, Handler aHandler);

  /** \brief Resets all connections and takes no more. This and the next two
   * are called on the context. */
  auto Close() -> void;
  /** \brief Takes connections again. */
  auto Open() -> void;
  /** \brief Neither reads nor writes any more until Close. */
  auto FallSilent() -> void { silent_ = true; }

  /** \brief Requests on connections that it had forgotten, reset unread. */
  [[nodiscard]] auto Forgotten() const -> std::size_t { return forgotten_; }

  /** \brief Callers that left before their answer. */
  [[nodiscard]] auto Abandoned() const -> std::size_t { return abandoned_; }

  /** \brief Endless answers whose callers have not closed yet. */
  [[nodiscard]] auto EndlessOpen() const -> std::size_t
  {
    return endless_.Open();
  }

  /** Callers beyond it are reset as soon as they have connected. */
  std::atomic<std::size_t> mostConnections_ = 1000;
  /** Connections that rest longer after an answer are forgotten: what comes
   * next is reset. Milliseconds; never if negative. */
  std::atomic<int> forgetsAfterMs_ = -1;

private:
  auto Accept() -> goldcrestcroft::Task<void>;
  auto Serve(std::shared_ptr<goldcrestcroft::Tcp::socket> aSocket)
    -> goldcrestcroft::Task<void>;
  [[nodiscard]] auto Forgets(goldcrestcroft::Duration aRest) const -> bool
  {
    return forgetsAfterMs_ >= 0 &&
           aRest > std::chrono::milliseconds{ forgetsAfterMs_ };
  }
  /** \brief Waits while silent; whether the connection is still there. */
  auto AwaitOpen(const goldcrestcroft::Tcp::socket& aSocket)
    -> goldcrestcroft::Task<bool>;

  goldcrestcroft::asio::io_context& context_;
  Handler handler_;
  goldcrestcroft::Tcp::endpoint address_;
  goldcrestcroft::Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<goldcrestcroft::Tcp::socket>> sockets_;
  bool silent_ = false;
  std::size_t connections_ = 0;
  std::atomic<std::size_t> abandoned_ = 0;
  std::atomic<std::size_t> forgotten_ = 0;
  EndlessStandin endless_;
};

} // namespace standins
