#include "ResultPage.h"

#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <functional>

namespace bench {

namespace {

struct Row
{
  const char* name_;
  std::function<double(const RunResult&)> value_;
};

auto Rows() -> std::vector<Row>
{
  return {
    { "attainment", [](const RunResult& aRun) { return aRun.Attainment(); } },
    { "least attainment of a workspace",
      [](const RunResult& aRun) { return aRun.MinAttainment(false); } },
    { "the same without the first workspace",
      [](const RunResult& aRun) { return aRun.MinAttainment(true); } },
    { "attainment of the dedicated desks",
      [](const RunResult& aRun) { return aRun.DedicatedAttainment(); } },
    { "goodput, a second",
      [](const RunResult& aRun) { return aRun.Goodput(); } },
    { "useful over paid copy-seconds",
      [](const RunResult& aRun) { return aRun.UsefulOverPaid(); } },
    { "wasted copy-seconds",
      [](const RunResult& aRun) { return aRun.WastedSeconds(); } },
    { "retries and hedges over first attempts",
      [](const RunResult& aRun) { return aRun.ExtraAttemptRatio(); } },
    { "first token p95, ms",
      [](const RunResult& aRun) { return aRun.FirstTokenP95(); } },
    { "refused early, share",
      [](const RunResult& aRun) {
        return static_cast<double>(aRun.refused_) /
               static_cast<double>(aRun.offered_);
      } },
    { "missed without a refusal, share",
      [](const RunResult& aRun) {
        return static_cast<double>(aRun.missed_) /
               static_cast<double>(aRun.offered_);
      } },
  };
}

auto CostByPool(const ScenarioResult& aScenario) -> std::string
{
  std::string text;
  for (const auto* pool : { "encoders", "retrievers", "rerankers", "shared" }) {
    text += fmt::format("| paid over useful, {} |", pool);
    for (const auto& column : aScenario.columns_) {
      const auto& run = column.result_;
      const auto useful = run.useful_.find(pool);
      text += useful == run.useful_.end()
                ? " - |"
                : fmt::format(" {:.3f} |", run.paid_.at(pool) / useful->second);
    }
    text += "\n";
  }
  return text;
}

auto Plot(const std::vector<ScenarioResult>& aResults) -> std::string
{
  constexpr double kWidth = 560.0;
  constexpr double kHeight = 320.0;
  constexpr double kMargin = 50.0;
  static const char* const kColours[] = { "#999999", "#d08770", "#5e81ac",
                                          "#2e7d32", "#000000" };
  std::string lines;
  std::vector<std::string> points(5);
  for (const auto& result : aResults) {
    const auto& scenario = result.scenario_;
    if (scenario.name_ != fmt::format("load {:.1f}", scenario.load_)) {
      continue;
    }
    const auto x = kMargin + (scenario.load_ - 0.5) * (kWidth - 2 * kMargin);
    for (std::size_t i = 0; i < result.columns_.size(); ++i) {
      const auto attainment = result.columns_[i].result_.Attainment();
      points[i] +=
        fmt::format("{:.1f},{:.1f} ", x,
                    kHeight - kMargin - attainment * (kHeight - 2 * kMargin));
    }
  }
  for (std::size_t i = 0; i < points.size() && !aResults.empty(); ++i) {
    lines += fmt::format(
      "<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" "
      "points=\"{}\"/>\n<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n",
      kColours[i], points[i], kMargin + 10, kHeight / 2 + 18.0 * i, kColours[i],
      aResults.front().columns_[i].policy_);
  }
  return fmt::format(
    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
    "font-family=\"sans-serif\" font-size=\"13\">\n"
    "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
    "<path d=\"M{2} {2} V{3} H{4}\" fill=\"none\" stroke=\"black\"/>\n"
    "<text x=\"{5}\" y=\"{6}\">load over capacity, 0.5 to 1.5</text>\n"
    "<text x=\"8\" y=\"{7}\">attainment, 0 to 1</text>\n{8}</svg>\n",
    kWidth, kHeight, kMargin, kHeight - kMargin, kWidth - kMargin,
    kWidth / 2 - 80, kHeight - 15, kMargin - 15, lines);
}

} // namespace

auto ResultTable(const std::vector<ScenarioResult>& aResults) -> std::string
{
  std::string text;
  for (const auto& result : aResults) {
    text += fmt::format("\n### {}\n\n| |", result.scenario_.name_);
    std::string rule = "| --- |";
    for (const auto& column : result.columns_) {
      text += fmt::format(" {} |", column.policy_);
      rule += " --- |";
    }
    text += "\n" + rule + "\n";
    for (const auto& row : Rows()) {
      text += fmt::format("| {} |", row.name_);
      for (const auto& column : result.columns_) {
        text += fmt::format(" {:.4g} |", row.value_(column.result_));
      }
      text += "\n";
    }
    text += CostByPool(result);
  }
  return text;
}

auto WriteResultPage(const std::vector<ScenarioResult>& aResults,
                     const std::string& aFolder) -> void
{
  std::ofstream(aFolder + "/policy.md")
    << "# Decisions under load\n\n"
       "Written by `scripts/measure`: decision code on a virtual clock over "
       "queueing fakes,\nthe same requests for every column, fixed seeds. What "
       "each row means and which goals\nare met or missed is told in "
       "[docs/design/policy.md](../design/policy.md).\n\n"
       "![attainment over load](policy.svg)\n"
    << ResultTable(aResults);
  std::ofstream(aFolder + "/policy.svg") << Plot(aResults);
}

} // namespace bench
