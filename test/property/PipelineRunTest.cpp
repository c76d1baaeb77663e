#include "Property.h"

#include <goldcrestcroft/Pipeline.h>

#include <map>
#include <random>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr std::size_t kScheduleLength = 120;

auto Config(bool aIdempotent) -> ConfigVersionPtr
{
  const std::string document = std::string(R"({
    "workspaces": { "w": {} },
    "pools": {
      "enc": { "kind": "encode", "licensed_copies": 2, "servers": {
        "e1": { "address": "127.0.0.1:1" }, "e2": { "address": "127.0.0.1:2" } } },
      "gen": { "kind": "generate", "licensed_copies": 2, "servers": {
        "g1": { "address": "127.0.0.1:3" }, "g2": { "address": "127.0.0.1:4" } } },
      "pay": { "kind": "call", "licensed_copies": 1, "idempotent": )") +
                               (aIdempotent ? "true" : "false") + R"(,
        "servers": { "p1": { "address": "127.0.0.1:5" } } } },
    "pipelines": { "p": { "workspaces": [ "w" ], "stages": [
      { "pool": "enc" }, { "pool": "gen" }, { "pool": "pay" } ] } } })";
  return Handle([&] { return ConfigVersion::FromDocument(1, document); },
                [](const Error& aError) -> ConfigVersionPtr {
                  FAIL(aError.message_);
                  return nullptr;
                });
}

auto Event(const std::string& aText, bool aLast) -> std::string
{
  return R"(data: {"choices":[{"text":")" + aText + R"(","finish_reason":)" +
         (aLast ? R"("stop")" : "null") + "}]}\n\n";
}

/** Backend servers that respond correctly, late, twice, truncated or not at
 * all. */
class RunWorld
{
public:
  explicit RunWorld(bool aIdempotent)
    : run_({ .id_ = { "r" },
             .config_ = Config(aIdempotent),
             .pipeline_ = { "p" },
             .workspace_ = { "w" },
             .input_ = { .text_ = "hello", .maxTokens_ = 3 },
             .deadline_ = clock_.Now() + std::chrono::seconds{ 8 } })
  {
    Execute(run_.Begin(clock_.Now()));
  }

  auto Step(unsigned aChoice) -> void
  {
    const auto kind = aChoice % 12;
    const auto pick = aChoice / 12;
    clock_.Advance(std::chrono::milliseconds(pick % 40));
    if (kind == 0 && !finished_) {
      Execute(run_.OnTick(clock_.Now()));
    } else if (kind <= 2) {
      Assign(pick);
    } else if (!sent_.empty()) {
      Answer(sent_[pick % sent_.size()], kind, pick);
    }
  }

  std::string violation_;
  int paid_ = 0;
  int finished_ = 0;
  RequestResult answer_;
  std::string emitted_;

private:
  struct Sent
  {
    AttemptId attempt_;
    PoolId pool_;
    std::string prefix_;
    std::size_t next_ = 0;
    /** The attempt never reached its server. */
    bool lost_ = false;
  };

  auto Execute(const PipelineRun::Commands& aCommands) -> void
  {
    for (const auto& command : aCommands) {
      if (finished_ > 0) {
        violation_ = "a command after the run finished";
      }
      if (const auto* submit = std::get_if<SubmitWork>(&command)) {
        waiting_.push_back(submit->work_);
      } else if (const auto* emit = std::get_if<EmitText>(&command)) {
        emitted_ += emit->text_;
      } else if (const auto* finish = std::get_if<FinishRequest>(&command)) {
        ++finished_;
        answer_ = finish->answer_;
        CheckEnd();
      }
    }
  }

  auto CheckEnd() -> void
  {
    const auto outcome = answer_.outcome_;
    if (outcome == Outcome::Completed &&
        (answer_.text_ != "paid" || emitted_ != "one two three ")) {
      violation_ =
        "completed with '" + answer_.text_ + "' after '" + emitted_ + "'";
    }
    if (outcome == Outcome::NotRun && begun_ > 0) {
      violation_ = "reported not_run after a server had started";
    }
    if (outcome == Outcome::Failed && paid_ > 0 &&
        !run_.StagePool().idempotent_) {
      violation_ = "reported failed, but the payment may have been made";
    }
  }

  auto Assign(unsigned aPick) -> void
  {
    if (waiting_.empty()) {
      if (!finished_ && aPick % 3 == 0 &&
          run_.WantsHedge(Duration{ 1000 }, clock_.Now())) {
        const auto copy = run_.MakeAttemptId();
        run_.OnHedged(copy, { "other" }, clock_.Now());
        Begin(copy, run_.StagePool().id_);
      }
      return;
    }
    const auto work = waiting_.back();
    waiting_.pop_back();
    if (finished_ > 0) {
      return;
    }
    run_.OnAssigned(work.id_, { "server" }, clock_.Now());
    Begin(work.id_, work.pool_);
  }

  auto Begin(const AttemptId& aAttempt, const PoolId& aPool) -> void
  {
    sent_.push_back(
      { .attempt_ = aAttempt,
        .pool_ = aPool,
        .prefix_ = aPool.value_ == "gen" ? run_.Data().text_ : "" });
  }

  auto Answer(Sent& aSent, unsigned aKind, unsigned aPick) -> void
  {
    static const std::map<std::string, std::string> kAnswers{
      { "enc", R"({"data":[{"embedding":[1,2]}]})" },
      { "pay", R"({"output":"paid"})" }
    };
    const auto now = clock_.Now();
    if (aKind >= 9 && aPick % 4 == 0) {
      const auto failure = static_cast<AttemptFailure>(aPick / 4 % 7);
      // A failure that claims "not started" is reported only if it is true.
      if (!DefinitelyNotStarted(failure) || aSent.next_ == 0) {
        aSent.lost_ = aSent.lost_ || DefinitelyNotStarted(failure);
        Execute(run_.OnFailure(aSent.attempt_, failure, budget_, now));
        return;
      }
    }
    if (aSent.lost_) {
      return;
    }
    if (aSent.pool_.value_ == "gen") {
      Stream(aSent, now);
      return;
    }
    // The server works once per attempt, however often its response arrives.
    paid_ += aSent.pool_.value_ == "pay" && aSent.next_ == 0 ? 1 : 0;
    ++begun_;
    aSent.next_ = 1;
    auto body = kAnswers.at(aSent.pool_.value_);
    if (aPick % 5 == 0) {
      body.resize(body.size() / 2);
    }
    // Some responses arrive twice.
    Execute(run_.OnAnswer(aSent.attempt_, body, budget_, now));
    if (aPick % 7 == 0) {
      Execute(run_.OnAnswer(aSent.attempt_, body, budget_, now));
    }
  }

  auto Stream(Sent& aSent, TimePoint aNow) -> void
  {
    static const std::string kTokens[] = { "one ", "two ", "three " };
    ++begun_;
    std::string prefix;
    std::size_t first = 0;
    while (prefix.size() < aSent.prefix_.size()) {
      prefix += kTokens[first++];
    }
    const auto at = first + aSent.next_;
    ++aSent.next_;
    if (at < 3) {
      Execute(run_.OnStreamBytes(aSent.attempt_, Event(kTokens[at], at == 2),
                                 budget_, aNow));
    } else if (at == 3) {
      if (first == 3) { // the text was complete already
        Execute(
          run_.OnStreamBytes(aSent.attempt_, Event("", true), budget_, aNow));
      }
      Execute(
        run_.OnStreamBytes(aSent.attempt_, "data: [DONE]\n\n", budget_, aNow));
      Execute(run_.OnStreamEnd(aSent.attempt_, budget_, aNow));
    } else {
      Execute(run_.OnStreamEnd(aSent.attempt_, budget_, aNow));
    }
  }

  VirtualClock clock_;
  RetryBudget budget_{ {} };
  PipelineRun run_;
  std::vector<WorkItem> waiting_;
  std::vector<Sent> sent_;
  int begun_ = 0;
};

} // namespace

TEST_CASE(
  "pipeline: one result, complete responses and correct outcomes under faults")
{
  CheckProperty([] {
    const auto idempotent = *rc::gen::arbitrary<bool>();
    RunWorld world(idempotent);
    for (const auto choice : *Schedule(kScheduleLength)) {
      world.Step(choice);
    }
    RC_ASSERT(world.violation_ == "");
    RC_ASSERT(world.finished_ <= 1);
    RC_ASSERT(idempotent || world.paid_ <= 1);
  });
}

TEST_CASE("pipeline: the schedules reach every outcome")
{
  std::mt19937 random(2);
  std::map<Outcome, int> outcomes;
  for (auto i = 0; i < 2000; ++i) {
    RunWorld world(i % 2 == 0);
    for (std::size_t step = 0; step < kScheduleLength; ++step) {
      world.Step(static_cast<std::uint16_t>(random()));
    }
    if (world.finished_ > 0) {
      ++outcomes[world.answer_.outcome_];
    }
  }
  CHECK(outcomes[Outcome::Completed] > 100);
  CHECK(outcomes[Outcome::Failed] > 10);
  CHECK(outcomes[Outcome::Unknown] > 10);
}

} // namespace testing
