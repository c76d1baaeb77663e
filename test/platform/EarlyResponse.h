#pragma once

#include <goldcrestcroft/src/Gateway/Net.h>

#include <string>

namespace standins {

/** \brief What follows a response that is sent before its request has arrived
 * completely. */
enum class EarlyEnd
{
  /** The connection is reset after the pause. */
  Resets,
  /** The connection is closed after the pause while bytes of the request are
   * unread, for which the system resets it. */
  ClosesUnread,
  /** Sending ends in order, and the rest of the request is read. */
  EndsAndReads,
  /** Sending ends in order, and the connection is reset after the pause
   * without the rest of the request being read. */
  EndsAndResets
};

/** \brief Bytes sent in response to the head of a long request. */
struct EarlyResponse
{
  std::string bytes_;
  EarlyEnd end_ = EarlyEnd::Resets;
  std::chrono::milliseconds pause_{ 0 };
  /** Sent only to requests that resume a stream. */
  bool onlyResumed_ = false;
};

/** \brief Sends the response and ends the connection. */
auto SendEarly(goldcrestcroft::Tcp::socket& aSocket, EarlyResponse aResponse)
  -> goldcrestcroft::Task<void>;

} // namespace standins
