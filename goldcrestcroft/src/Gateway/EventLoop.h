#pragma once

#include "Net.h"

namespace goldcrestcroft {

/** \brief An event loop whose unfinished work can be destroyed before the loop
 * itself.
 *
 * The loop owns suspended coroutines. If they were left to the destructor of
 * the loop, they would outlive objects that were constructed after the loop and
 * that they refer to. */
class EventLoop : public asio::io_context
{
public:
  EventLoop()
    : asio::io_context(1)
  {
  }

  /** \brief Destroys all pending handlers and coroutines; the loop must not run
   * afterwards. */
  auto DestroyHandlers() -> void { shutdown(); }
};

} // namespace goldcrestcroft
