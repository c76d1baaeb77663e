#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <list>

namespace soak {

namespace asio = goldcrestcroft::asio;
template<typename T>
using Task = goldcrestcroft::Task<T>;

/** \brief Waits for a while, not at all for a time that has passed. */
inline auto Sleep(asio::io_context& aContext, goldcrestcroft::Duration aTime)
  -> Task<void>
{
  asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(goldcrestcroft::kAsTuple);
}

/** \brief What a proxy does to the connections through it. */
enum class LinkFault
{
  None,
  /** Bytes of both directions arrive later. */
  Delayed,
  /** Open connections are reset, new ones are refused by a reset. */
  Reset,
  /** Bytes wait until the fault is over. */
  Held,
  /** Connections that are open now never carry a byte again. */
  Mute,
  /** What the accepting side says is lost; one way only. */
  NoAnswers,
  /** What the connecting side says is lost; one way only. */
  NoRequests
};

/** \brief Forwards connections on loopback and harms them when told to. */
class LoopbackProxy
{
public:
  LoopbackProxy(asio::io_context& aContext, const std::string& aListen,
                const std::string& aTarget);

  auto Set(LinkFault aFault, std::chrono::milliseconds aDelay = {}) -> void;

private:
  struct Pair
  {
    goldcrestcroft::Tcp::socket near_;
    goldcrestcroft::Tcp::socket far_;
    bool mute_ = false;
  };

  auto Accept() -> Task<void>;
  auto Connect(std::shared_ptr<Pair> aPair) -> Task<void>;
  auto Pump(std::shared_ptr<Pair> aPair, bool aToFar) -> Task<void>;
  /** \brief Waits as the fault asks; false where the bytes are lost. */
  auto Pass(std::shared_ptr<Pair> aPair, bool aToFar) -> Task<bool>;

  asio::io_context& context_;
  goldcrestcroft::Tcp::acceptor acceptor_;
  goldcrestcroft::Tcp::endpoint target_;
  LinkFault fault_ = LinkFault::None;
  std::chrono::milliseconds delay_{ 0 };
  std::list<std::weak_ptr<Pair>> pairs_;
};

} // namespace soak
