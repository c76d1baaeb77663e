#pragma once

#include "InsertStrategy.h"
#include "PlatformState.h"

#include <vector>

namespace bench {

/** \brief Parameters of one run, which gives one row of the result table. */
struct OnceScenario
{
  const char* name_;
  InsertStrategy strategy_;
  PlatformState platform_;
  int hosts_;
  double rate_;
};

/** \brief Returns all scenarios in the order of the rows on the page. */
auto AllScenarios() -> std::vector<OnceScenario>;

} // namespace bench
