#include "EntryFleet.h"

#include <doctest/doctest.h>

namespace testing {

TEST_CASE("a figure that a host can do without does not keep it from starting")
{
  struct Case
  {
    std::string setting_;
    /** Whether the value is used as it is. */
    bool valid_ = false;
  };
  const Case cases[] = {
    { R"("memory_mb": 260.0)", true },
    { R"("memory_mb": 259.5)", true },
    { R"("memory_mb": null)", true },
    { R"("file_descriptors": 4100.0)", true },
    { R"("news_within_ms": 2000.5)", true },
    { R"("cores": 0.25, "link_mbps": 1000.0)", true },
    { R"("memory_mb": 60)" },
    { R"("memory_mb": 0)" },
    { R"("memory_mb": "260")" },
    { R"("file_descriptors": -1)" },
    { R"("news_within_ms": 400)" },
    { R"("longest_engine_pause_s": 5000)" },
    { R"("repeat_ratio": 2.5)" },
    { R"("repeat_slack": 1e7)" },
    { R"("repeat_window_s": 0)" },
    { R"("cores": true)" },
    { R"("log_level": "verbose")" },
    { R"("seeds": ["127.0.0.1:8305", 7])" },
    { R"("region": "sued")" },
  };
  for (const auto& item : cases) {
    CAPTURE(item.setting_);
    EntryFleet fleet(1, {}, ", " + item.setting_);
    CHECK(fleet.AwaitReady(0));
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
    const auto name = item.setting_.substr(1, item.setting_.find(':') - 2);
    CHECK(CountOf(fleet.Log(0), "\"event\":\"setting_adjusted\"") ==
          (item.valid_ ? 0 : 1));
    CHECK(item.valid_ == (CountOf(fleet.Log(0), "'" + name + "'") == 0));
  }
}

} // namespace testing
