#pragma once

namespace bench {

/** \brief State of the table service. */
enum class PlatformState
{
  Healthy,
  Slow,
  Down
};

} // namespace bench
