#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <atomic>
#include <string>

namespace standins {

/** \brief Bytes that are sent until the peer closes the connection. */
struct EndlessBytes
{
  /** Sent once; "@ID" is replaced by the request's id. */
  std::string begin_;
  /** Sent repeatedly, either without a pause or once every pause_. */
  std::string unit_;
  std::chrono::milliseconds pause_{ 0 };
};

/** \brief Sends endless bytes and counts the connections that receive them. */
class EndlessStandin
{
public:
  /** \brief Writes until the peer has closed the connection. */
  auto Write(goldcrestcroft::Tcp::socket& aSocket, EndlessBytes aBytes,
             std::string aRequestId) -> goldcrestcroft::Task<void>;
  /** \brief Number of connections that the peer has not closed yet. */
  [[nodiscard]] auto Open() const -> std::size_t { return open_; }

private:
  std::atomic<std::size_t> open_ = 0;
};

} // namespace standins
