#pragma once

#include "RunResult.h"
#include "Scenario.h"

namespace bench {

/** \brief One policy's result. */
struct ResultColumn
{
  std::string policy_;
  RunResult result_;
};

/** \brief All policies under one scenario. The last column is the oracle, the
 * one before it ours. */
struct ScenarioResult
{
  Scenario scenario_;
  std::vector<ResultColumn> columns_;
};

/** \brief The figures as a Markdown table. */
auto ResultTable(const std::vector<ScenarioResult>& aResults) -> std::string;

/** \brief Writes policy.md and policy.svg into a folder. */
auto WriteResultPage(const std::vector<ScenarioResult>& aResults,
                     const std::string& aFolder) -> void;

} // namespace bench
