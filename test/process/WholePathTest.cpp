#include "Fleet.h"

namespace testing {

TEST_CASE("whole path: responses are complete and belong to their request, "
          "plain and streamed, at every host")
{
  Fleet fleet({});
  for (auto host = 0; host < 3; ++host) {
    const auto input = "input " + std::to_string(host);
    const auto reply = fleet.Send(host, { .input_ = input });
    CHECK(OutcomeOf(reply) == "completed");
    CHECK(TextOf(reply).find(DigestOf(input)) != std::string::npos);
    const auto streamed =
      fleet.Send(host, { .input_ = input, .stream_ = true });
    CHECK(streamed.body_.find(DigestOf(input)) != std::string::npos);
    CHECK(streamed.body_.find("event: done") != std::string::npos);
  }
  const auto paid = fleet.Send(0, { .pipeline_ = "payout",
                                    .input_ = "paid",
                                    .key_ = "k",
                                    .workspace_ = "payments" });
  CHECK(OutcomeOf(paid) == "completed");
  fleet.Await("spans of every hop", [&] {
    const auto spans =
      json::parse(fleet.Get(fleet.Address("collector"), "/stats").body_);
    return spans.value("request", 0) == 7 &&
           spans.value("claim in the table service", 0) == 1 &&
           spans.value("engines", 0) == 6 && spans.value("encoders", 0) == 6;
  });
}

TEST_CASE("whole path: invalid input gets a typed error and is not dispatched")
{
  Fleet fleet({ .hosts_ = 1 });
  struct Case
  {
    Ask ask_;
    long status_;
  };
  const Case cases[] = {
    { { .pipeline_ = "none" }, 404 },
    { { .workspace_ = "payments" }, 403 },
    { { .deadlineMilliseconds_ = 0 }, 400 },
    { { .input_ = "" }, 400 },
    { { .pipeline_ = "payout", .workspace_ = "payments" }, 400 },
  };
  for (const auto& each : cases) {
    const auto reply = fleet.Send(0, each.ask_);
    CHECK(reply.status_ == each.status_);
    CHECK(OutcomeOf(reply) == "not_run");
    const auto body = json::parse(reply.body_);
    CHECK_FALSE(body["error"]["remedy"].get<std::string>().empty());
  }
  CHECK(fleet.Post(fleet.HostAddress(0), "/v1/pipelines/critique", "text")
          .status_ == 400);
  CHECK(fleet.Get(fleet.HostAddress(0), "/nothing").status_ == 404);
  CHECK(
    fleet.Post(fleet.HostAddress(0), "/v1/config/patches", { { "base", 1 } })
      .status_ == 400);
  const auto metrics = fleet.Get(fleet.HostAddress(0), "/metrics").body_;
  CHECK(metrics.find("goldcrestcroft_attempts_total{") == std::string::npos);
}

TEST_CASE(
  "whole path: truncated, foreign and missing responses of servers never "
  "corrupt a response to a caller")
{
  Fleet fleet({});
  const auto check = [&](const char* aFault) {
    for (auto i = 0; i < 12; ++i) {
      const auto input = aFault + std::to_string(i);
      const auto reply = fleet.Send(i % 3, { .input_ = input });
      CAPTURE(reply.body_);
      if (OutcomeOf(reply) == "completed") {
        CHECK(TextOf(reply).find(DigestOf(input)) != std::string::npos);
      } else {
        CHECK(OutcomeOf(reply) == "failed");
      }
      const auto streamed =
        fleet.Send(i % 3, { .input_ = input, .stream_ = true });
      const auto done = streamed.body_.find("event: done") != std::string::npos;
      const auto own =
        streamed.body_.find(DigestOf(input)) != std::string::npos;
      const auto failed =
        streamed.body_.find(R"("outcome":"failed")") != std::string::npos;
      CHECK(((done && own) || failed));
    }
  };
  for (const auto* server : { "encoder-0", "engine-0" }) {
    fleet.SetFaults(server, { { "truncate", true } });
  }
  check("short");
  for (const auto* server : { "encoder-0", "engine-0" }) {
    fleet.SetFaults(server, { { "truncate", false }, { "foreign", true } });
  }
  check("foreign");
  for (const auto* server : { "encoder-0", "engine-0" }) {
    fleet.SetFaults(server, { { "foreign", false }, { "hang", true } });
  }
  check("hang");
}

} // namespace testing
