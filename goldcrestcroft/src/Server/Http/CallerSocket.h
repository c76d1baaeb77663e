#pragma once

#include "../../../Core.h"

#include <functional>
#include <mutex>
#include <string>

namespace goldcrestcroft {

/** \brief The writing side of one caller's connection, for any thread.
 *
 * It owns a duplicate of the connection's descriptor, so its bytes reach this
 * connection or none: a descriptor number that the next caller reuses is never
 * looked up. One request at a time holds it. */
class CallerSocket
{
public:
  /** Duplicates the descriptor. */
  explicit CallerSocket(int aDescriptor);
  ~CallerSocket();
  CallerSocket(const CallerSocket&) = delete;
  auto operator=(const CallerSocket&) -> CallerSocket& = delete;

  /** \brief Takes the connection for a request. False while another holds it;
   * the connection then closes after the answer to that one. */
  auto TryAcquire() -> bool;
  /** \brief Writes the last bytes of an answer and lets the next request in,
   * in one step: the caller may send it the moment these bytes arrive. */
  auto Finish(std::string_view aLastBytes, bool aClose) -> void;
  /** \brief The caller hung up: lets go of the descriptor. */
  auto MarkGone() -> void;

  /** \brief Writes what the connection takes and keeps the rest. */
  auto Write(std::string_view aBytes) -> void;
  /** \brief The connection takes bytes again. */
  auto Flush() -> void;

  [[nodiscard]] auto IsGone() const -> bool;
  /** \brief The descriptor, while bytes wait; else below 0. */
  [[nodiscard]] auto WaitingDescriptor() const -> int;

private:
  auto WriteLocked(std::string_view aBytes) -> void;
  auto FlushLocked() -> void;
  auto CloseLocked() -> void;

  mutable std::mutex mutex_;
  int descriptor_;
  std::string waiting_;
  bool held_ = false;
  bool closeAfterAnswer_ = false;
  bool closeWhenFlushed_ = false;
};

} // namespace goldcrestcroft
