#include "../Core/Signals.h"

namespace goldcrestcroft {

namespace {

/** Runs before the initialisers of the shared libraries, which take longer than
 * their loading. A signal that arrived during them would end the process. */
auto BlockSignalsEarly(int, char**, char**) -> void
{
  BlockSignals();
  IgnoreUnusedSignals();
}

[[gnu::section(".preinit_array"), gnu::used]] auto* const kBeforeInitialisers =
  &BlockSignalsEarly;

} // namespace

} // namespace goldcrestcroft
