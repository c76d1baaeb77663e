#pragma once

#include "RunResult.h"
#include "Scenario.h"

namespace bench {

/** \brief Result of one policy under one scenario. */
struct ResultColumn
{
  std::string policy_;
  RunResult result_;
};

/** \brief Results of all policies under one scenario. The last column is the
 * oracle; the column before it is the policy under test. */
struct ScenarioResult
{
  Scenario scenario_;
  std::vector<ResultColumn> columns_;
};

/** \brief Returns one Markdown table per scenario. */
auto ResultTable(const std::vector<ScenarioResult>& aResults) -> std::string;

/** \brief Writes policy.md and policy.svg into aFolder. */
auto WriteResultPage(const std::vector<ScenarioResult>& aResults,
                     const std::string& aFolder) -> void;

} // namespace bench
