#pragma once

#include "PoisonWorld.h"

#include <doctest/doctest.h>

namespace testing {

/** \brief Simulates sites of up to aMaxHosts hosts, each with several rates of
 * requests with a part that crashes engines; aCheck checks each outcome. */
template<typename Check>
auto PlayPromptPartSites(bool aRespondsFirst, std::size_t aMaxHosts,
                         Check aCheck) -> void
{
  using std::chrono::milliseconds;
  struct Site
  {
    PoisonWorld::Options options_;
    std::vector<double> rates_;
  };
  const std::vector<Site> sites{ { { .hosts_ = 8,
                                     .engines_ = 12,
                                     .slots_ = 64,
                                     .contact_ = milliseconds{ 3000 } },
                                   { 0.3, 1.0, 3.0 } },
                                 { { .hosts_ = 82,
                                     .engines_ = 112,
                                     .slots_ = 16,
                                     .contact_ = milliseconds{ 4000 } },
                                   { 1.0, 10.0 } },
                                 { { .hosts_ = 300,
                                     .engines_ = 400,
                                     .slots_ = 16,
                                     .contact_ = milliseconds{ 5000 } },
                                   { 3.0, 30.0 } } };
  for (const auto& site : sites) {
    for (const auto rate : site.rates_) {
      auto options = site.options_;
      if (options.hosts_ > aMaxHosts) {
        continue;
      }
      options.crashingPerSecond_ = rate;
      options.respondsFirst_ = aRespondsFirst;
      options.seed_ = static_cast<unsigned>(rate * 10.0);
      const auto outcome = PoisonWorld(options).Play();
      MESSAGE("hosts ", options.hosts_, " rate ", rate,
              ": late sends of a part ", outcome.latePartSends_,
              ", engines crashed by parts ", outcome.partCrashes_,
              ", harmless requests rejected for a part ",
              outcome.rejectedForPart_, ", in all ", outcome.harmlessRejected_,
              " of ", outcome.requests_, ", runs lost ", outcome.runsLost_,
              ", datagrams ", outcome.datagrams_);
      CAPTURE(options.hosts_);
      CAPTURE(rate);
      aCheck(outcome);
    }
  }
}

} // namespace testing
