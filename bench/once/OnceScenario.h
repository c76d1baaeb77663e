#pragma once

#include "PlatformState.h"
#include "Way.h"

#include <vector>

namespace bench {

/** \brief One row of the table: what is played. */
struct OnceScenario
{
  const char* name_;
  Way way_;
  PlatformState platform_;
  int hosts_;
  double rate_;
};

/** \brief All rows, in the order of the page. */
auto AllScenarios() -> std::vector<OnceScenario>;

} // namespace bench
