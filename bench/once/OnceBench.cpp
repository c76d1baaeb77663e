#include "OnceRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <spdlog/fmt/fmt.h>

#include <cstdio>
#include <fstream>

ABSL_FLAG(std::string, out, "docs/results", "folder for the table");

namespace bench {

namespace {

auto Main(int aCount, char** aArguments) -> int
{
  static const char* const kPlatforms[] = { "healthy", "slow", "down" };
  absl::ParseCommandLine(aCount, aArguments);
  std::string page =
    "# Ways to run a request at most once\n\nWritten by `scripts/measure`: the "
    "batcher on a virtual clock before a table service\nthat takes 400 "
    "transactions a second (slow: 50). Two writes a request, insert and\n"
    "record. Chosen and why: [docs/design/once.md](../design/once.md).\n\n"
    "| way | platform | hosts | requests/s | transactions/s | rows/s | "
    "completed | added p50 ms | added p99 ms |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : AllScenarios()) {
    const auto run = OnceRun(row).Run();
    page += fmt::format("| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.3f} | "
                        "{:.1f} | {:.1f} |\n",
                        row.name_, kPlatforms[static_cast<int>(row.platform_)],
                        row.hosts_, row.rate_, run.transactionsPerSecond_,
                        run.rowsPerSecond_, run.completedShare_, run.addedP50_,
                        run.addedP99_);
  }
  std::ofstream(absl::GetFlag(FLAGS_out) + "/once.md") << page;
  std::fputs(page.c_str(), stdout);
  return 0;
}

} // namespace

} // namespace bench

auto main(int aCount, char** aArguments) -> int
{
  return bench::Main(aCount, aArguments);
}
