#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace goldcrestcroft {

/** \brief How a response marks the end of its body. */
enum class ResponseFraming
{
  /** No head has arrived. */
  Unknown,
  NoBody,
  Length,
  Chunked,
  /** The body ends with the connection. */
  Connection
};

/** \brief State of an engine's connection after the last read from it. */
enum class ConnectionEnd
{
  Open,
  /** The engine closed it in order. */
  Closed,
  /** The engine or the network reset it. */
  Reset,
  /** This host closed it or stopped reading. */
  Aborted
};

/** \brief Why a response whose framing is complete is not. */
enum class BrokenOff
{
  No,
  /** Bytes follow the last complete event of a stream. */
  InsideEvent,
  /** A stream that ends with its connection has no event with data. */
  BeforeFirstEvent,
  /** The response ends with its connection, and the engine has exited. */
  EngineGone,
  /** The response ends with its connection, which the engine then reset, since
   * it has not read the whole request. */
  Reset,
  /** The id of an event is not larger than that of the event before it. */
  OutOfOrder
};

/** \brief Why the bytes of a response form no valid response. */
enum class ResponseDefect
{
  None,
  /** The parser refuses them. */
  Syntax,
  /** The status is no status code. */
  Status,
  /** A transfer coding other than chunked was applied to the body. */
  TransferCoding
};

/** \brief Fixed names for metrics and the log. */
auto ToString(ResponseFraming aFraming) -> std::string;
auto ToString(ConnectionEnd aEnd) -> std::string;
auto ToString(BrokenOff aReason) -> std::string;
auto ToString(ResponseDefect aDefect) -> std::string;

/** \brief What is known of the end of one engine's response. */
struct ResponseEnd
{
  ResponseFraming framing_ = ResponseFraming::Unknown;
  ConnectionEnd connection_ = ConnectionEnd::Open;
  std::size_t bodyBytes_ = 0;
  /** Events with data; 0 for responses that are no streams. */
  std::size_t events_ = 0;
  /** Bytes after the last complete event. */
  std::size_t unfinishedBytes_ = 0;
  BrokenOff brokenOff_ = BrokenOff::No;
  ResponseDefect defect_ = ResponseDefect::None;

  auto operator<=>(const ResponseEnd&) const = default;
};

/** \brief Whether the bytes of a stream show that it was broken off although
 * its framing is complete. */
auto CheckStreamEnd(const ResponseEnd& aEnd) -> BrokenOff;

} // namespace goldcrestcroft
