#include "LoadReport.h"

#include <prometheus/summary.h>

#include <cstdio>

namespace goldcrestcroft {

class LoadReport::Quantiles
{
public:
  auto Observe(double aMilliseconds) -> void
  {
    summary_.Observe(aMilliseconds);
  }

  auto Print(const char* aName) -> void
  {
    const auto values = summary_.Collect().summary.quantile;
    std::printf("%-28s", aName);
    for (const auto& value : values) {
      std::printf("  p%-4g %9.3f ms", value.quantile * 100.0, value.value);
    }
    std::printf("\n");
  }

private:
  prometheus::Summary summary_{
    { { 0.5, 0.005 }, { 0.95, 0.002 }, { 0.99, 0.001 } },
    std::chrono::hours{ 24 }
  };
};

LoadReport::LoadReport()
  : requestTime_(std::make_unique<Quantiles>())
  , overhead_(std::make_unique<Quantiles>())
  , overheadPerHop_(std::make_unique<Quantiles>())
{
}

LoadReport::~LoadReport() = default;

auto LoadReport::AddResponse(const std::string& aOutcome, Duration aRequestTime,
                             Duration aOverhead, std::size_t aHops) -> void
{
  ++responses_;
  ++outcomes_[aOutcome];
  if (aOutcome == "completed") {
    requestTime_->Observe(ToMilliseconds(aRequestTime));
    overhead_->Observe(ToMilliseconds(aOverhead));
    if (aHops > 0) {
      overheadPerHop_->Observe(ToMilliseconds(aOverhead) /
                               static_cast<double>(aHops));
    }
  }
}

auto LoadReport::Completed() const -> std::size_t
{
  const auto found = outcomes_.find("completed");
  return found == outcomes_.end() ? 0 : found->second;
}

auto LoadReport::AllSucceeded() const -> bool
{
  return invalid_.empty() && Completed() == responses_;
}

auto LoadReport::Print(Duration aElapsed) const -> void
{
  const auto seconds = std::chrono::duration<double>(aElapsed).count();
  std::printf("%zu answers in %.2f s, %.0f a second\n", responses_, seconds,
              static_cast<double>(responses_) / seconds);
  for (const auto& [outcome, count] : outcomes_) {
    std::printf("  %-12s %zu\n", outcome.c_str(), count);
  }
  for (const auto& [reason, count] : invalid_) {
    std::printf("  WRONG: %s: %zu\n", reason.c_str(), count);
  }
  if (Completed() > 0) {
    requestTime_->Print("whole request");
    overhead_->Print("added by the system");
    overheadPerHop_->Print("added by the system, per hop");
  }
}

} // namespace goldcrestcroft
