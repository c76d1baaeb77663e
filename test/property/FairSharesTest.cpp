#include "Property.h"

#include <goldcrestcroft/src/Policy/FairShares.h>

#include <numeric>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE(
  "fair shares: all capacity is used, no share exceeds its demand, and a "
  "claim that gets less per weight than another has its demand met")
{
  CheckProperty([] {
    std::vector<ShareClaim> claims;
    for (const auto choice : *Schedule(6)) {
      claims.push_back(
        { .demand_ = (choice % 100) / 4.0, .weight_ = 1.0 + choice / 100 % 5 });
    }
    const auto capacity = static_cast<double>(*rc::gen::inRange(0, 100));
    const auto shares = FairShares(capacity, claims);
    constexpr double kTolerance = 1e-6;
    auto demand = 0.0;
    for (const auto& claim : claims) {
      demand += claim.demand_;
    }
    const auto given = std::accumulate(shares.begin(), shares.end(), 0.0);
    RC_ASSERT(std::abs(given - std::min(capacity, demand)) < kTolerance);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      RC_ASSERT(shares[i] <= claims[i].demand_ + kTolerance);
      for (std::size_t j = 0; j < claims.size(); ++j) {
        const auto less = shares[i] / claims[i].weight_ + kTolerance <
                          shares[j] / claims[j].weight_;
        RC_ASSERT(!less || shares[i] > claims[i].demand_ - kTolerance);
      }
    }
  });
}

} // namespace testing
