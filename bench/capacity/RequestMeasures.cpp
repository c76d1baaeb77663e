#include "Measures.h"
#include "Timing.h"

#include <goldcrestcroft/Once.h>
#include <goldcrestcroft/Policy.h>
#include <spdlog/fmt/fmt.h>

namespace bench {

using namespace goldcrestcroft;

auto MeasureDispatch(MeasureTable& aTable, int aServers, int aWorkspaces)
  -> void
{
  const auto size =
    fmt::format("{} servers a pool, {} workspaces", aServers, aWorkspaces);
  Configuration::Options options;
  Pool pool{ .id_ = { "p" },
             .kind_ = StageKind::Generate,
             .expected_ = std::chrono::milliseconds{ 300 } };
  for (auto i = 0; i < aServers; ++i) {
    pool.servers_.push_back(
      { .id_ = { "s" + std::to_string(i) }, .pool_ = pool.id_, .slots_ = 8 });
  }
  options.pools_ = { pool };
  for (auto i = 0; i < aWorkspaces; ++i) {
    options.workspaces_.push_back({ .id_ = { "w" + std::to_string(i) } });
  }
  VirtualClock clock;
  const auto before = HeapBytes();
  Dispatcher<CorrectedLoadRouting> dispatcher({ .host_ = { "h" } }, {}, 1);
  dispatcher.Adopt(Configuration(options));
  aTable.Add("request path", size, "dispatcher memory",
             (HeapBytes() - before) / 1e6, "MB");
  auto number = 0;
  aTable.Add(
    "request path", size, "admit, submit, route and finish one stage",
    MicrosecondsOf([&] {
      const WorkspaceId workspace{ "w" + std::to_string(number % aWorkspaces) };
      const auto deadline = clock.Now() + std::chrono::seconds{ 8 };
      [[maybe_unused]] const auto admission =
        dispatcher.Admit({ { .pool_ = { "p" }, .size_ = 1.0 } }, workspace,
                         Priority::Normal, deadline, clock.Now());
      const AttemptId id{ std::to_string(++number) };
      dispatcher.Submit({ .id_ = id,
                          .pool_ = { "p" },
                          .workspace_ = workspace,
                          .deadline_ = deadline,
                          .affinity_ = 7 });
      clock.Advance(Duration{ 25 });
      if (dispatcher.Next(clock.Now())) {
        dispatcher.OnFinish(id, Finish::Completed, clock.Now());
      }
    }),
    "us");
}

auto MeasureQuarantine(MeasureTable& aTable, int aEntries) -> void
{
  VirtualClock clock;
  const auto before = HeapBytes();
  Quarantine quarantine({ .capacity_ = 8192 });
  for (auto i = 0; i < aEntries; ++i) {
    quarantine.OnCrash({ static_cast<std::uint64_t>(i) }, false, clock.Now());
  }
  const auto size = fmt::format("{} fingerprints", aEntries);
  aTable.Add("poison news", size, "memory", (HeapBytes() - before) / 1e3, "KB");
  aTable.Add("poison news", size, "judging one request", MicrosecondsOf([&] {
               [[maybe_unused]] const auto verdict =
                 quarantine.Judge(3, clock.Now());
             }),
             "us");
}

auto MeasureRecorder(MeasureTable& aTable) -> void
{
  VirtualClock clock;
  MemoryTable table;
  TableBatcher batcher({ .period_ = Duration{ 0 } });
  auto number = 0;
  aTable.Add("at-most-once recorder", "batches of 64", "one row",
             MicrosecondsOf([&] {
               for (auto i = 0; i < 64; ++i) {
                 batcher.Add({ .key_ = { kOnceTable, std::to_string(number++) },
                               .value_ = "row" });
               }
               batcher.OnReply(table.Transact(*batcher.NextBatch(clock.Now())));
             }) /
               64.0,
             "us");
}

} // namespace bench
