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
  : took_(std::make_unique<Quantiles>())
  , added_(std::make_unique<Quantiles>())
  , addedPerHop_(std::make_unique<Quantiles>())
{
}

LoadReport::~LoadReport() = default;

auto LoadReport::OnAnswer(const std::string& aOutcome, Duration aTook,
                          Duration aAdded, std::size_t aHops) -> void
{
  ++answers_;
  ++outcomes_[aOutcome];
  if (aOutcome == "completed") {
    took_->Observe(ToMilliseconds(aTook));
    added_->Observe(ToMilliseconds(aAdded));
    if (aHops > 0) {
      addedPerHop_->Observe(ToMilliseconds(aAdded) /
                            static_cast<double>(aHops));
    }
  }
}

auto LoadReport::Completed() const -> std::size_t
{
  const auto found = outcomes_.find("completed");
  return found == outcomes_.end() ? 0 : found->second;
}

auto LoadReport::AllRight() const -> bool
{
  return wrong_.empty() && Completed() == answers_;
}

auto LoadReport::Print(Duration aElapsed) const -> void
{
  const auto seconds = std::chrono::duration<double>(aElapsed).count();
  std::printf("%zu answers in %.2f s, %.0f a second\n", answers_, seconds,
              static_cast<double>(answers_) / seconds);
  for (const auto& [outcome, count] : outcomes_) {
    std::printf("  %-12s %zu\n", outcome.c_str(), count);
  }
  for (const auto& [why, count] : wrong_) {
    std::printf("  WRONG: %s: %zu\n", why.c_str(), count);
  }
  if (Completed() > 0) {
    took_->Print("whole request");
    added_->Print("added by the system");
    addedPerHop_->Print("added by the system, per hop");
  }
}

} // namespace goldcrestcroft
