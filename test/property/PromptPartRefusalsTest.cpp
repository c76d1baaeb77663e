#include "PromptPartSites.h"

namespace testing {

namespace {

const auto kCheckRefusals = [](const PoisonWorld::Outcome& aOutcome) {
  CHECK(aOutcome.rejectedForPart_ == 0);
};

} // namespace

TEST_CASE(
  "prompt part refusals: parts that sound requests share with those of a "
  "crashing part are not quarantined")
{
  PlayPromptPartSites(true, 300, kCheckRefusals);
}

TEST_CASE("prompt part refusals: they are not either if engines crash before "
          "they begin to respond")
{
  PlayPromptPartSites(false, 82, kCheckRefusals);
}

} // namespace testing
