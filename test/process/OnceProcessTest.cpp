#include "Fleet.h"

#include <csignal>
#include <thread>

namespace testing {

namespace {

auto Payout(const std::string& aInput, bool aFirst) -> Ask
{
  return { .pipeline_ = "payout",
           .input_ = aInput,
           .key_ = "key-" + aInput,
           .first_ = aFirst,
           .workspace_ = "payments" };
}

} // namespace

TEST_CASE("once: a key sent to all hosts at once runs once, and all callers "
          "get its answer")
{
  Fleet fleet({ .serviceMicroseconds_ = 50'000 });
  for (auto round = 0; round < 10; ++round) {
    const auto input = "round " + std::to_string(round);
    std::vector<std::function<HttpResponse()>> replies;
    replies.reserve(24);
    for (auto i = 0; i < 6; ++i) {
      replies.push_back(fleet.SendLater(i % 3, Payout(input, false)));
    }
    for (const auto& reply : replies) {
      const auto answer = reply();
      CHECK(OutcomeOf(answer) == "completed");
      CHECK(TextOf(answer) == "done " + DigestOf(input));
    }
    CHECK(fleet.RunsOf(input) == 1);
  }
}

TEST_CASE("once: after a host was killed during the run, a retry elsewhere "
          "never runs it again")
{
  Fleet fleet({ .serviceMicroseconds_ = 400'000 });
  for (auto round = 0; round < 3; ++round) {
    const auto input = "killed " + std::to_string(round);
    const auto lost = fleet.SendLater(0, Payout(input, true));
    fleet.Await("the run has begun", [&] { return fleet.RunsOf(input) == 1; });
    fleet.Host(0).Kill();
    CHECK(OutcomeOf(lost()).find("no answer") == 0);
    const auto repeat = fleet.Send(1, Payout(input, false));
    CHECK(OutcomeOf(repeat) == "unknown");
    CHECK(fleet.RunsOf(input) == 1);
    fleet.StartHost(0);
    fleet.AwaitReady(0);
    CHECK(OutcomeOf(fleet.Send(0, Payout(input, false))) == "unknown");
    CHECK(fleet.RunsOf(input) == 1);
  }
}

TEST_CASE(
  "once: a host paused past every time-out and resumed runs nothing twice")
{
  Fleet fleet({ .serviceMicroseconds_ = 300'000 });
  for (auto round = 0; round < 4; ++round) {
    const auto input = "paused " + std::to_string(round);
    auto ask = Payout(input, true);
    ask.deadlineMilliseconds_ = 2000;
    const auto slow = fleet.SendLater(0, ask);
    // The pause begins before the insert, between insert and run, or during the
    // run.
    std::this_thread::sleep_for(std::chrono::milliseconds(7 * round));
    fleet.Host(0).Signal(SIGSTOP);
    const auto repeat = fleet.Send(1, Payout(input, false));
    const auto seen = OutcomeOf(repeat);
    CHECK((seen == "completed" || seen == "unknown"));
    std::this_thread::sleep_for(std::chrono::milliseconds{ 2500 });
    fleet.Host(0).Signal(SIGCONT);
    slow();
    fleet.AwaitReady(0);
    const auto last = OutcomeOf(fleet.Send(2, Payout(input, false)));
    CAPTURE(seen);
    CAPTURE(last);
    CHECK((last == "completed" || last == "unknown"));
    CHECK(fleet.RunsOf(input) <= 1);
    CHECK((last != "completed" || fleet.RunsOf(input) == 1));
  }
}

TEST_CASE("once: the table service down, slow and losing answers")
{
  Fleet fleet({});
  fleet.SetFaults("table", { { "down", true } });
  // Everything else keeps working from the last snapshot.
  CHECK(OutcomeOf(fleet.Send(0, {})) == "completed");
  const auto refused = fleet.Send(0, Payout("down", true));
  CHECK(OutcomeOf(refused) == "not_run");
  CHECK(json::parse(refused.body_).value("retry_after_ms", 0.0) > 0.0);
  CHECK(OutcomeOf(fleet.Send(1, Payout("down", false))) == "unknown");
  CHECK(fleet.RunsOf("down") == 0);
  fleet.SetFaults("table", { { "down", false }, { "lose_answers", true } });
  const auto lost = OutcomeOf(fleet.Send(0, Payout("lost", true)));
  CHECK((lost == "completed" || lost == "unknown"));
  CHECK(fleet.RunsOf("lost") <= 1);
  fleet.SetFaults("table", { { "lose_answers", false }, { "delay_ms", 150 } });
  CHECK(OutcomeOf(fleet.Send(0, Payout("slow", true))) == "completed");
  CHECK(fleet.RunsOf("slow") == 1);
  fleet.SetFaults("table", { { "delay_ms", 0 } });
  const auto after = fleet.Send(2, Payout("down", false));
  CHECK(OutcomeOf(after) == "completed");
  CHECK(fleet.RunsOf("down") == 1);
}

TEST_CASE(
  "once: the service dies during the run; the outcome is unknown, never "
  "a second run")
{
  Fleet fleet({ .serviceMicroseconds_ = 300'000 });
  const auto reply = fleet.SendLater(0, Payout("crash", true));
  fleet.Await("the run has begun", [&] { return fleet.RunsOf("crash") == 1; });
  fleet.Standin("service-0").Kill();
  CHECK(OutcomeOf(reply()) == "unknown");
  fleet.StartStandin("service-0");
  for (auto host = 0; host < 3; ++host) {
    CHECK(OutcomeOf(fleet.Send(host, Payout("crash", false))) == "unknown");
  }
  CHECK(fleet.RunsOf("crash") == 0); // the new process has run nothing
}

TEST_CASE("once: a run that never reached a server leaves its key free")
{
  Fleet fleet({});
  fleet.Standin("service-0").Kill();
  const auto refused = fleet.Send(0, Payout("unreached", true));
  CHECK(OutcomeOf(refused) == "not_run");
  fleet.StartStandin("service-0");
  fleet.Await("the service runs the repeat", [&] {
    return OutcomeOf(fleet.Send(1, Payout("unreached", false))) == "completed";
  });
  CHECK(fleet.RunsOf("unreached") == 1);
}

} // namespace testing
