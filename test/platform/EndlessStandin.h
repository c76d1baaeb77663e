#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <atomic>
#include <string>

namespace standins {

/** \brief Bytes that go on until the other end closes. */
struct EndlessBytes
{
  /** Sent once; "@ID" stands for the request's id. */
  std::string begin_;
  /** Sent again and again, without a pause or one every pause_. */
  std::string unit_;
  std::chrono::milliseconds pause_{ 0 };
};

/** \brief Sends endless bytes and counts the connections on which it does. */
class EndlessStandin
{
public:
  /** \brief Returns once the other end has closed. */
  auto Write(goldcrestcroft::Tcp::socket& aSocket, EndlessBytes aBytes,
             std::string aRequestId) -> goldcrestcroft::Task<void>;
  /** \brief Connections that the other end has not closed yet. */
  [[nodiscard]] auto Open() const -> std::size_t { return open_; }

private:
  std::atomic<std::size_t> open_ = 0;
};

} // namespace standins
