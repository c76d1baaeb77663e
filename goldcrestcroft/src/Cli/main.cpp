#include "../Core/Signals.h"
#include "Command.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>

namespace goldcrestcroft {

namespace {

constexpr auto kUsage =
  "An entry host for multi-stage model pipelines, and its tools.\n"
  "  goldcrestcroft entry [FILE]   on a platform; FILE defaults to the one\n"
  "                                that GOLDCRESTCROFT_NODE_FILE names\n"
  "  goldcrestcroft serve --settings=FILE [--embedded [--config=FILE]]\n"
  "  goldcrestcroft check FILE\n"
  "  goldcrestcroft config show|history|patch FILE  [--host=IP:PORT]\n"
  "  goldcrestcroft hosts|status  [--host=IP:PORT]\n"
  "  goldcrestcroft load  [--host=IP:PORT] [--requests=FOLDER]";

struct Command
{
  const char* name_;
  int (*run_)(const std::vector<std::string>&);
  /** Whether it runs until a signal stops it and handles signals itself. */
  bool runsUntilSignal_ = false;
};

constexpr Command kCommands[] = {
  { "entry", RunEntry, true }, { "serve", RunServe, true },
  { "check", RunCheck },       { "config", RunConfig },
  { "hosts", RunHosts },       { "status", RunStatus },
  { "load", RunLoad },
};

} // namespace

auto UsageError(const std::string& aHelp) -> int
{
  std::fprintf(stderr, "usage: goldcrestcroft %s\n", aHelp.c_str());
  return kExitUsage;
}

} // namespace goldcrestcroft

auto main(int aCount, char** aArguments) -> int
{
  using namespace goldcrestcroft;
  absl::SetProgramUsageMessage(kUsage);
  const auto arguments = absl::ParseCommandLine(aCount, aArguments);
  if (arguments.size() < 2) {
    std::fprintf(stderr, "%s\n", kUsage);
    return kExitUsage;
  }
  const std::vector<std::string> commandArguments(arguments.begin() + 2,
                                                  arguments.end());
  for (const auto& command : kCommands) {
    if (std::string(arguments[1]) == command.name_) {
      if (command.runsUntilSignal_) {
        PrepareServerSignals();
      } else {
        UnblockSignals();
      }
      return RunReporting([&] { return command.run_(commandArguments); });
    }
  }
  std::fprintf(stderr, "%s\n", kUsage);
  return kExitUsage;
}
