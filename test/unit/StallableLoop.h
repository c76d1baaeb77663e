#pragma once

#include "SilentStore.h"

#include <goldcrestcroft/src/Gateway/Traffic.h>
#include <platform/TableCodec.h>

#include <memory>
#include <vector>

namespace testing {

/** \brief An event loop that is stalled whenever the test does not run it, and
 * a port that sockets of the test connect to. */
class StallableLoop
{
public:
  StallableLoop();

  auto Context() -> goldcrestcroft::asio::io_context& { return context_; }
  /** \brief Runs the handlers that are ready without waiting. */
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
  /** \brief Does not run the loop until any timeout of aTime has expired. */
  static auto Stall(std::chrono::milliseconds aTime) -> void;

  auto Address() -> std::string;
  /** \brief Waits for a connection to the port. */
  auto Accept() -> goldcrestcroft::Tcp::socket;
  /** \brief Accepts a connection to the port if one is waiting. Returns whether
   * it did. */
  auto TryAccept(goldcrestcroft::Tcp::socket& aInto) -> bool;
  /** \brief A socket outside the loop, connected to the port. */
  auto Connect() -> goldcrestcroft::Tcp::socket;

private:
  goldcrestcroft::asio::io_context context_;
  goldcrestcroft::asio::io_context outside_;
  goldcrestcroft::Tcp::acceptor acceptor_;
};

/** \brief A Traffic without ports on a StallableLoop, with callers that the
 * test adds. */
class StalledTraffic
{
public:
  explicit StalledTraffic(
    StallableLoop& aLoop,
    const goldcrestcroft::PlatformCodec* aCodec = nullptr);

  ~StalledTraffic();
  StalledTraffic(const StalledTraffic&) = delete;
  auto operator=(const StalledTraffic&) -> StalledTraffic& = delete;

  auto SetLimits(const goldcrestcroft::ClientLimits& aLimits) -> void;
  /** \brief Returns a caller's socket; the host's end of it waits for a
   * request. */
  auto AddCaller() -> goldcrestcroft::Tcp::socket;

private:
  StallableLoop& loop_;
  platform::TableCodec ownCodec_;
  SilentStore store_;
  goldcrestcroft::GatewayMetrics metrics_;
  goldcrestcroft::Traffic traffic_;
  std::vector<std::shared_ptr<goldcrestcroft::CallerConnection>> connections_;
  std::uint64_t version_ = 0;
};

/** \brief Reads what has arrived on the socket so far, without waiting. */
auto ReadWaiting(goldcrestcroft::Tcp::socket& aSocket) -> std::string;

} // namespace testing
