#include "Measures.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <fstream>

ABSL_FLAG(std::string, out, "docs/results", "folder for the table");

namespace bench {

namespace {

auto Main(int aCount, char** aArguments) -> int
{
  absl::ParseCommandLine(aCount, aArguments);
  MeasureTable table;
  for (const auto engines : { 30, 1000, 10'000 }) {
    MeasureConfig(table, engines, engines == 30 ? 5 : 400);
  }
  for (const auto hosts : { 8, 40, 160, 640 }) {
    MeasureMembership(table, hosts);
    MeasureDetection(table, hosts);
  }
  MeasureHeartbeat(table, 30, 20, false);
  MeasureHeartbeat(table, 64, 64, true);
  for (const auto servers : { 12, 64, 600, 2500 }) {
    MeasureDispatch(table, servers, servers == 12 ? 5 : 400);
  }
  MeasureDispatch(table, 600, 5);
  MeasureQuarantine(table, 100);
  MeasureQuarantine(table, 4096);
  MeasureRecorder(table);
  const auto page = table.Page();
  std::ofstream(absl::GetFlag(FLAGS_out) + "/capacity.md") << page;
  std::fputs(page.c_str(), stdout);
  return 0;
}

} // namespace

} // namespace bench

auto main(int aCount, char** aArguments) -> int
{
  return bench::Main(aCount, aArguments);
}
