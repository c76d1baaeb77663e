#include "RunResult.h"

#include <algorithm>

namespace bench {

namespace {

auto Ratio(double aPart, double aWhole) -> double
{
  return aWhole > 0.0 ? aPart / aWhole : 1.0;
}

auto Sum(const std::map<std::string, double>& aByPool) -> double
{
  auto sum = 0.0;
  for (const auto& [pool, value] : aByPool) {
    sum += value;
  }
  return sum;
}

} // namespace

auto RunResult::Attainment() const -> double
{
  return Ratio(static_cast<double>(inTime_), static_cast<double>(offered_));
}

auto RunResult::MinAttainment(bool aExcludeFirst) const -> double
{
  auto minimum = 1.0;
  for (const auto& [workspace, offered] : offeredBy_) {
    if (aExcludeFirst && workspace == "w0") {
      continue;
    }
    const auto inTime = inTimeBy_.find(workspace);
    const auto done = inTime == inTimeBy_.end() ? 0 : inTime->second;
    minimum = std::min(
      minimum, Ratio(static_cast<double>(done), static_cast<double>(offered)));
  }
  return minimum;
}

auto RunResult::DedicatedAttainment() const -> double
{
  return Ratio(static_cast<double>(dedicatedInTime_),
               static_cast<double>(dedicatedOffered_));
}

auto RunResult::Goodput() const -> double
{
  return static_cast<double>(inTime_) / seconds_;
}

auto RunResult::UsefulOverPaid() const -> double
{
  return Ratio(Sum(useful_), Sum(paid_));
}

auto RunResult::WastedSeconds() const -> double
{
  return Sum(spent_) - Sum(useful_);
}

auto RunResult::ExtraAttemptRatio() const -> double
{
  return Ratio(static_cast<double>(extraAttempts_),
               static_cast<double>(attempts_ - extraAttempts_));
}

auto RunResult::FirstTokenP95() const -> double
{
  auto sorted = firstTokenMilliseconds_;
  if (sorted.empty()) {
    return 0.0;
  }
  constexpr double kQuantile = 0.95;
  const auto at =
    sorted.begin() +
    static_cast<long>(kQuantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

} // namespace bench
