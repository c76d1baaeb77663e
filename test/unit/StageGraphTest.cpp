#include <doctest/doctest.h>
#include <goldcrestcroft/Staging.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using Stages = std::vector<std::size_t>;
using Handles = std::vector<std::string>;

auto Chain() -> std::vector<RouteStage>
{
  return { { .service_ = "a" },
           { .service_ = "b" },
           { .service_ = "c", .after_ = { 1 } },
           { .service_ = "d", .after_ = { 2 } } };
}

auto NamesOf(const std::vector<std::pair<std::size_t, std::string>>& aResults)
  -> Handles
{
  Handles names;
  for (const auto& [stage, handle] : aResults) {
    names.push_back(handle);
  }
  return names;
}

} // namespace

TEST_CASE("stages start when all their inputs are produced")
{
  StageGraph graph(Chain(), { 2, 1, 1, 1 });
  CHECK(graph.TakeReady() == Stages{ 1 });
  CHECK(graph.TakeReady().empty());
  graph.OnProduced(1, 0, "b0");
  CHECK(graph.TakeReady() == Stages{ 2 });
  CHECK(graph.InputsOf(2) == Handles{ "b0" });
  graph.OnProduced(2, 0, "c0");
  // Stage 0, a branch of length 1, waits until the other branch has one stage
  // left as well.
  CHECK(graph.TakeReady() == Stages{ 0, 3 });
  CHECK(graph.TakeReady().empty());
  graph.OnProduced(3, 0, "d0");
  CHECK_FALSE(graph.IsDone());
  graph.OnProduced(0, 1, "a1");
  graph.OnProduced(0, 1, "again");
  CHECK(graph.MissingPieces(0) == std::vector<std::uint32_t>{ 0 });
  graph.OnProduced(0, 0, "a0");
  CHECK(graph.IsDone());
  CHECK(graph.FinalInputs() == Handles{ "a0", "a1", "d0" });
}

TEST_CASE("a stage without pieces is skipped and passes on its dependencies")
{
  StageGraph graph(Chain(), { 0, 1, 0, 1 });
  CHECK(graph.TakeReady() == Stages{ 1 });
  graph.OnProduced(1, 0, "b0");
  CHECK(graph.TakeReady() == Stages{ 3 });
  CHECK(graph.InputsOf(3) == Handles{ "b0" });
  graph.OnProduced(3, 0, "d0");
  CHECK(graph.IsDone());
  CHECK(graph.FinalInputs() == Handles{ "d0" });
  CHECK(StageGraph(Chain(), { 0, 0, 0, 0 }).IsDone());
}

TEST_CASE("results are released once, when every successor has fetched them")
{
  StageGraph graph(Chain(), { 0, 1, 2, 1 });
  graph.TakeReady();
  graph.OnProduced(1, 0, "b0");
  graph.TakeReady();
  graph.OnBegun(2, 0);
  CHECK(graph.TakeUnneeded().empty());
  graph.OnBegun(2, 1);
  CHECK(NamesOf(graph.TakeUnneeded()) == Handles{ "b0" });
  CHECK(graph.TakeUnneeded().empty());
  graph.OnProduced(2, 0, "c0");
  CHECK(NamesOf(graph.TakeAll()) == Handles{ "c0" });
}

TEST_CASE("lost inputs are produced again, with their dependencies")
{
  StageGraph graph(Chain(), { 0, 1, 1, 1 });
  graph.TakeReady();
  graph.OnProduced(1, 0, "b0");
  graph.TakeReady();
  graph.OnProduced(2, 0, "c0");
  graph.TakeReady();
  graph.TakeUnneeded();
  // c0 is lost and b0 was already released: both stages run again.
  graph.OnInputsLost(3);
  CHECK(graph.TakeReady() == Stages{ 1 });
  graph.OnProduced(1, 0, "b1");
  CHECK(graph.TakeReady() == Stages{ 2 });
  graph.OnProduced(2, 0, "c1");
  CHECK(graph.TakeReady() == Stages{ 3 });
  CHECK(graph.InputsOf(3) == Handles{ "c1" });
}

TEST_CASE("depth is the length of the longest chain to the end")
{
  const StageGraph graph(Chain(), { 1, 1, 1, 1 });
  CHECK(graph.DepthFrom(0) == 1);
  CHECK(graph.DepthFrom(1) == 3);
  CHECK(graph.DepthFrom(3) == 1);
}

TEST_CASE(
  "the remaining critical path is the longest chain that is not underway")
{
  const RoutingTable routing(
    { .services_ = {
        { .name_ = "a",
          .stage_ = StageProfile{ .callTime_ = Duration{ 100 },
                                  .pieceTime_ = Duration{ 10 } } },
        { .name_ = "b",
          .stage_ = StageProfile{ .callTime_ = Duration{ 200 } } },
        { .name_ = "c",
          .stage_ = StageProfile{ .callTime_ = Duration{ 300 } } },
        { .name_ = "d",
          .stage_ = StageProfile{ .callTime_ = Duration{ 400 } } } } });
  const Route route{ .stages_ = Chain() };
  StageGraph graph(Chain(), { 1, 2, 1, 0 });
  const auto remaining = [&] {
    return RemainingCriticalPath(route, graph, routing).count();
  };
  CHECK(remaining() == 500); // b and c; d is skipped, a is shorter.
  graph.TakeReady();
  graph.OnBegun(1, 0);
  CHECK(remaining() == 500);
  graph.OnProduced(1, 1, "b1");
  CHECK(remaining() == 300);
  graph.OnProduced(2, 0, "c0");
  CHECK(remaining() == 110);
}

TEST_CASE("callers wait for the first event for the documented time")
{
  const CallerTimeout timeout;
  Route route{ .kind_ = RouteKind::Streaming,
               .objective_ = std::chrono::milliseconds{ 690 },
               .gapObjective_ = std::chrono::milliseconds{ 200 } };
  CHECK(timeout.FirstEventTimeout(route) == std::chrono::milliseconds{ 2760 });
  route.objective_ = std::chrono::milliseconds{ 100 };
  CHECK(timeout.FirstEventTimeout(route) == std::chrono::seconds{ 2 });
  route.gapObjective_ = std::chrono::milliseconds{ 400 };
  CHECK(timeout.FirstEventTimeout(route) == std::chrono::milliseconds{ 3200 });
}

TEST_CASE("exclusive use is confirmed after a period without contention")
{
  using std::chrono::milliseconds;
  VirtualClock clock;
  ExclusiveUse use(clock.Now());
  const auto confirmed = [&] { return use.IsConfirmed(clock.Now()); };
  CHECK_FALSE(confirmed());
  clock.Advance(milliseconds{ 3000 });
  CHECK(confirmed());
  use.OnCall(milliseconds{ 400 }, milliseconds{ 300 }, clock.Now());
  CHECK(confirmed());
  // The call waited behind a call of another host.
  use.OnCall(milliseconds{ 600 }, milliseconds{ 300 }, clock.Now());
  CHECK_FALSE(confirmed());
  clock.Advance(milliseconds{ 3000 });
  use.OnContention(clock.Now());
  CHECK_FALSE(confirmed());
}

TEST_CASE(
  "a stage that was cancelled while running starts again, one that is produced "
  "does not")
{
  StageGraph graph(
    { { .service_ = "a" }, { .service_ = "b", .after_ = { 0 } } }, { 2, 1 });
  CHECK(graph.TakeReady() == Stages{ 0 });
  graph.OnProduced(0, 1, "a1");
  graph.OnCancelled();
  CHECK(graph.TakeReady() == Stages{ 0 });
  CHECK(graph.MissingPieces(0) == std::vector<std::uint32_t>{ 0 });
  graph.OnProduced(0, 0, "a0");
  CHECK(graph.TakeReady() == Stages{ 1 });
  graph.OnProduced(1, 0, "b0");
  graph.OnCancelled();
  CHECK(graph.TakeReady().empty());
  CHECK(graph.IsDone());
}

} // namespace testing
