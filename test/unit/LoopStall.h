#pragma once

#include <goldcrestcroft/src/Gateway/Traffic.h>
#include <platform/TableCodec.h>

#include <memory>
#include <vector>

namespace testing {

/** \brief A loop that stands still whenever the test does not run it, and a
 * port that sockets of the test connect to. */
class LoopStall
{
public:
  LoopStall();

  auto Context() -> goldcrestcroft::asio::io_context& { return context_; }
  /** \brief Runs what is ready, waits for nothing. */
  auto Poll() -> void;
  /** \brief Runs the loop until the condition holds; false if it does not
   * within some seconds. */
  template<typename Condition>
  auto RunUntil(Condition aCondition) -> bool
  {
    constexpr auto kTries = 5000;
    for (auto i = 0; i < kTries; ++i) {
      if (aCondition()) {
        return true;
      }
      context_.restart();
      context_.run_for(std::chrono::milliseconds{ 1 });
    }
    return false;
  }
  /** \brief Leaves the loop alone until any time-out of aTime is over. */
  static auto StandStill(std::chrono::milliseconds aTime) -> void;

  auto Address() -> std::string;
  /** \brief Waits for a connection to the port. */
  auto Accept() -> goldcrestcroft::Tcp::socket;
  /** \brief Whether a connection to the port waits to be accepted; takes it
   * then. */
  auto TryAccept(goldcrestcroft::Tcp::socket& aInto) -> bool;
  /** \brief A socket of the test's own, connected to the port. */
  auto Connect() -> goldcrestcroft::Tcp::socket;

private:
  goldcrestcroft::asio::io_context context_;
  goldcrestcroft::asio::io_context outside_;
  goldcrestcroft::Tcp::acceptor acceptor_;
};

/** \brief A Traffic without ports on such a loop, with callers of its own. */
class StalledTraffic
{
public:
  explicit StalledTraffic(
    LoopStall& aLoop, const goldcrestcroft::PlatformCodec* aCodec = nullptr);

  ~StalledTraffic();
  StalledTraffic(const StalledTraffic&) = delete;
  auto operator=(const StalledTraffic&) -> StalledTraffic& = delete;

  auto SetLimits(const goldcrestcroft::ClientLimits& aLimits) -> void;
  /** \brief A caller's socket, whose connection waits for a request. */
  auto AddCaller() -> goldcrestcroft::Tcp::socket;

private:
  LoopStall& loop_;
  platform::TableCodec ownCodec_;
  goldcrestcroft::GatewayMetrics metrics_;
  goldcrestcroft::Traffic traffic_;
  std::vector<std::shared_ptr<goldcrestcroft::CallerConnection>> connections_;
  std::uint64_t version_ = 0;
};

/** \brief What has come on the socket so far, without waiting. */
auto ReadWaiting(goldcrestcroft::Tcp::socket& aSocket) -> std::string;

} // namespace testing
