#pragma once

#include "Net.h"

namespace goldcrestcroft {

/** \brief A loop whose unfinished work can be dropped before it is destroyed.
 *
 * A coroutine that waits belongs to the loop. Left to the destructor, it would
 * outlive the objects that were made after the loop, and that it refers to. */
class Loop : public asio::io_context
{
public:
  Loop()
    : asio::io_context(1)
  {
  }

  /** \brief Destroys what still waits; the loop does not run any more. */
  auto DropWork() -> void { shutdown(); }
};

} // namespace goldcrestcroft
