#include <doctest/doctest.h>
#include <goldcrestcroft/Engines.h>

namespace testing {

namespace {

using namespace goldcrestcroft;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{ std::chrono::hours{ 1 } };
constexpr std::uint64_t kRequest = 7;

/** A run that takes the first half of second aNumber after kNow. */
auto Run(std::uint64_t aNumber, std::uint64_t aRequest = kRequest) -> LostRun
{
  const auto began = kNow + seconds{ aNumber };
  return { .request_ = aRequest,
           .run_ = aNumber,
           .began_ = began,
           .ended_ = began + milliseconds{ 500 } };
}

} // namespace

TEST_CASE("lost runs: a loss costs a few messages, to its two owners only")
{
  std::vector<std::string> hosts(300);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i] = "h" + std::to_string(i);
  }
  LostRunReports reports;
  reports.SetHosts(hosts);
  reports.Add(Run(1));
  std::map<std::string, std::size_t> messages;
  for (auto i = 0; i < 10; ++i) {
    for (const auto& due : reports.Due(Run(1).ended_)) {
      CHECK(due.runs_ == std::vector{ Run(1) });
      ++messages[due.owner_];
    }
  }
  const auto owners = OwnersOf(kRequest, hosts, 2);
  CHECK(messages == std::map<std::string, std::size_t>{ { owners[0], 3 },
                                                        { owners[1], 3 } });
  // A new owner receives the run; a remaining owner does not get it again.
  hosts.erase(std::find(hosts.begin(), hosts.end(), owners[0]));
  reports.SetHosts(hosts);
  const auto due = reports.Due(Run(1).ended_);
  REQUIRE(due.size() == 1);
  CHECK(due.front().owner_ == OwnersOf(kRequest, hosts, 2)[1]);
}

TEST_CASE("lost runs: a new host does not receive runs of requests that were "
          "cleared before")
{
  LostRunReports reports;
  reports.SetHosts({ "a", "b" });
  reports.Add(Run(1));
  reports.Add(Run(1, 8));
  reports.Forget(kRequest);
  reports.SetHosts({ "c", "d" });
  const auto due = reports.Due(Run(1).ended_);
  REQUIRE(due.size() == 2);
  for (const auto& message : due) {
    CHECK(message.runs_ == std::vector{ Run(1, 8) });
  }
}

TEST_CASE("lost runs: reports are bounded, fit in a packet and expire")
{
  LostRunReports reports({ .capacity_ = 50 });
  reports.Add(Run(1)); // Before any host is known.
  reports.SetHosts({ "a", "b" });
  for (std::uint64_t run = 2; run <= 100; ++run) {
    reports.Add(Run(run));
  }
  CHECK(reports.Size() == 50);
  const auto due = reports.Due(Run(100).ended_);
  REQUIRE(due.size() == 2);
  for (const auto& message : due) {
    CHECK(message.runs_.size() == 20);
    CHECK(message.runs_.front() == Run(51));
  }
  CHECK(reports.Due(Run(100).ended_).front().runs_.front() == Run(71));
  CHECK(reports.Due(Run(100).ended_ + minutes{ 2 }).empty());
  CHECK(reports.Size() == 0);
}

TEST_CASE("lost runs: an owner passes on what others have reported to hosts "
          "that become owners, once")
{
  LostRunReports owner;
  owner.SetHosts({ "a", "b" });
  owner.AddReported(Run(1));
  owner.AddReported(Run(1));
  CHECK(owner.Size() == 1);
  // The host that lost the run sends it to the present owners.
  CHECK(owner.Due(Run(1).ended_).empty());
  CHECK(owner.SetHosts({ "c" }));
  CHECK_FALSE(owner.SetHosts({ "c" }));
  for (auto i = 0; i < 3; ++i) {
    const auto due = owner.Due(Run(1).ended_);
    REQUIRE(due.size() == 1);
    CHECK(due[0].owner_ == "c");
    CHECK(due[0].runs_ == std::vector{ Run(1) });
  }
  CHECK(owner.Due(Run(1).ended_).empty());
}

TEST_CASE(
  "lost runs: an owner does not pass on runs of parts of prompts, which "
  "a new owner may not be able to explain")
{
  LostRunReports owner;
  owner.SetHosts({ "a", "b" });
  owner.AddReported(Run(1, PromptPartFingerprint("part")));
  CHECK(owner.Size() == 0);
}

TEST_CASE("lost runs: one loss reported for several suspects is sent for each")
{
  LostRunReports reports;
  reports.SetHosts({ "a" });
  reports.Add(Run(1));
  reports.Add(Run(1, 8));
  const auto due = reports.Due(Run(1).ended_);
  REQUIRE(due.size() == 1);
  CHECK(due[0].runs_.size() == 2);
}

TEST_CASE(
  "lost runs: an owner that keeps a run names another host in its place")
{
  const std::vector<std::string> hosts{ "a", "b", "c", "d" };
  LostRunReports reports;
  reports.SetHosts(hosts);
  const auto order = OwnersOf(kRequest, hosts, 3);
  CHECK(reports.OtherOwners(kRequest, order[0]) ==
        std::vector{ order[1], order[2] });
  CHECK(reports.OtherOwners(kRequest, order[2]) ==
        std::vector{ order[0], order[1] });
}

} // namespace testing
