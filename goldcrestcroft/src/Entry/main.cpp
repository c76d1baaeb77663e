#include "../Process/ProcessMain.h"

/** An entry host. Unlike the command line tool, this program loads few
 * libraries: signals that arrive before they are loaded end it. */
auto main(int aCount, char** aArguments) -> int
{
  using namespace goldcrestcroft;
  PrepareServerSignals();
  return RunReporting([&] {
    return RunEntry({ aArguments + 1, aArguments + aCount });
  });
}
