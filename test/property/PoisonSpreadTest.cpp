#include "PoisonWorld.h"
#include "Property.h"

namespace testing {

namespace {

using std::chrono::milliseconds;

/** Maximum number of retries that the users' rules allow later than
 * `contact_ms` after the third crash. */
constexpr std::size_t kMaxLateSends = 3;

} // namespace

TEST_CASE("poison spread: few sends of a poison request come later than "
          "contact_ms after its third crash, and harmless requests of a wave "
          "of crashes are not quarantined")
{
  const std::vector<PoisonWorld::Options> sites{
    { .hosts_ = 8,
      .engines_ = 12,
      .slots_ = 64,
      .contact_ = milliseconds{ 3000 } },
    { .hosts_ = 60,
      .engines_ = 60,
      .slots_ = 64,
      .contact_ = milliseconds{ 4000 } },
    { .hosts_ = 82,
      .engines_ = 112,
      .slots_ = 16,
      .contact_ = milliseconds{ 4000 } },
    { .hosts_ = 300,
      .engines_ = 400,
      .slots_ = 16,
      .contact_ = milliseconds{ 5000 } }
  };
  for (auto site : sites) {
    for (const auto seed : { 1U, 2U, 3U }) {
      site.seed_ = seed;
      const auto outcome = PoisonWorld(site).Play();
      MESSAGE("hosts ", site.hosts_, " seed ", seed,
              ": late sends of a poison ", outcome.lateSends_,
              ", engines crashed by poisons ", outcome.crashes_,
              ", harmless requests rejected ", outcome.harmlessRejected_,
              " of ", outcome.requests_, ", runs lost ", outcome.runsLost_,
              ", datagrams ", outcome.datagrams_);
      CAPTURE(site.hosts_);
      CAPTURE(seed);
      CHECK(outcome.lateSends_ <= kMaxLateSends);
      CHECK(outcome.harmlessRejected_ == 0);
    }
  }
}

} // namespace testing
