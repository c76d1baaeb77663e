#pragma once

#include "../../../Core.h"

#include <functional>
#include <mutex>
#include <string>

namespace goldcrestcroft {

/** \brief The write side of one caller's connection. Safe for all threads.
 *
 * It owns a duplicate of the connection's descriptor. Its bytes can therefore
 * not reach another caller whose connection reuses the descriptor number. One
 * request at a time uses the connection. */
class CallerSocket
{
public:
  /** Duplicates the descriptor. */
  explicit CallerSocket(int aDescriptor);
  ~CallerSocket();
  CallerSocket(const CallerSocket&) = delete;
  auto operator=(const CallerSocket&) -> CallerSocket& = delete;

  /** \brief Acquires the connection for a request. Returns false while another
   * request uses it; the connection then closes after the response to that
   * request. */
  auto TryAcquire() -> bool;
  /** \brief Writes the last bytes of a response and releases the connection for
   * the next request, atomically: the caller may send that request as soon as
   * these bytes arrive. */
  auto Finish(std::string_view aLastBytes, bool aClose) -> void;
  /** \brief Closes the descriptor after the caller disconnected. */
  auto MarkDisconnected() -> void;

  /** \brief Writes what the connection accepts and buffers the rest. */
  auto Write(std::string_view aBytes) -> void;
  /** \brief Writes buffered bytes when the connection is writable again. */
  auto Flush() -> void;

  [[nodiscard]] auto IsDisconnected() const -> bool;
  /** \brief The descriptor while bytes are buffered, otherwise negative. */
  [[nodiscard]] auto PendingWriteDescriptor() const -> int;

private:
  auto WriteLocked(std::string_view aBytes) -> void;
  auto FlushLocked() -> void;
  auto CloseLocked() -> void;

  mutable std::mutex mutex_;
  int descriptor_;
  std::string pending_;
  bool inUse_ = false;
  bool closeAfterResponse_ = false;
  bool closeWhenFlushed_ = false;
};

} // namespace goldcrestcroft
