#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <list>

namespace soak {

namespace asio = goldcrestcroft::asio;
template<typename T>
using Task = goldcrestcroft::Task<T>;

/** \brief Suspends for the duration; completes at once if it is negative. */
inline auto Sleep(asio::io_context& aContext, goldcrestcroft::Duration aTime)
  -> Task<void>
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(goldcrestcroft::kAsTuple);
}

/** \brief Fault that a proxy applies to its connections. */
enum class LinkFault
{
  None,
  /** Bytes of both directions are delayed. */
  Delayed,
  /** Open connections are reset, and so are new ones as they are accepted. */
  Reset,
  /** Bytes are not forwarded until the fault ends. */
  Paused,
  /** Connections that are open now never forward a byte again. */
  Blackholed,
  /** Bytes from the accepting side are lost, those from the connecting side are
   * not; after the first loss the connection forwards none in either direction.
   */
  NoResponses,
  /** The same with the sides exchanged. */
  NoRequests
};

/** \brief Forwards loopback connections and injects faults into them. */
class LoopbackProxy
{
public:
  LoopbackProxy(asio::io_context& aContext, const std::string& aListen,
                const std::string& aTarget);

  auto SetFault(LinkFault aFault, std::chrono::milliseconds aDelay = {})
    -> void;

private:
  struct ConnectionPair
  {
    goldcrestcroft::Tcp::socket downstream_;
    goldcrestcroft::Tcp::socket upstream_;
    bool blackholed_ = false;
  };

  auto Accept() -> Task<void>;
  auto Connect(std::shared_ptr<ConnectionPair> aPair) -> Task<void>;
  auto Forward(std::shared_ptr<ConnectionPair> aPair, bool aToUpstream)
    -> Task<void>;
  /** \brief Waits as the fault requires; false if the bytes are lost. */
  auto ApplyFault(std::shared_ptr<ConnectionPair> aPair, bool aToUpstream)
    -> Task<bool>;

  asio::io_context& context_;
  goldcrestcroft::Tcp::acceptor acceptor_;
  goldcrestcroft::Tcp::endpoint target_;
  LinkFault fault_ = LinkFault::None;
  std::chrono::milliseconds delay_{ 0 };
  std::list<std::weak_ptr<ConnectionPair>> pairs_;
};

} // namespace soak
