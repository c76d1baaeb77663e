#include "../policy/EventQueue.h"

#include <goldcrestcroft/Once.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>

ABSL_FLAG(std::string, out, "docs/results", "folder for the table");

namespace bench {

namespace {

using namespace goldcrestcroft;

/** \brief Where a non-idempotent request's insert is made. */
enum class Way
{
  /** One transaction a request. */
  Single,
  /** Batches at the host that received the request. */
  Receiving,
  /** Batches at the key's home host, one more hop away. */
  Home,
  /** No insert: the key is bound to one incarnation of one host. */
  Bound
};

enum class Platform
{
  Healthy,
  Slow,
  Down
};

struct Row
{
  const char* name_;
  Way way_;
  Platform platform_;
  int hosts_;
  double rate_;
};

struct Outcome
{
  double transactionsPerSecond_ = 0.0;
  double rowsPerSecond_ = 0.0;
  double completedShare_ = 0.0;
  double addedP50_ = 0.0;
  double addedP99_ = 0.0;
};

/** A table service that takes so many transactions a second, in turn. */
class FakeTable
{
public:
  FakeTable(EventQueue& aEvents, Platform aPlatform)
    : events_(aEvents)
    , platform_(aPlatform)
  {
  }

  auto Transact(std::vector<RowWrite> aWrites,
                std::function<void(const TransactReply&)> aReply) -> void
  {
    constexpr Duration kWay = std::chrono::milliseconds{ 1 };
    constexpr Duration kTimeout = std::chrono::milliseconds{ 800 };
    if (platform_ == Platform::Down) {
      events_.After(2 * kWay, [aReply] {
        aReply({ .status_ = TableStatus::Unavailable });
      });
      return;
    }
    ++transactions_;
    rows_ += aWrites.size();
    const auto service = platform_ == Platform::Slow
                           ? Duration(std::chrono::milliseconds{ 20 })
                           : Duration(2500); // 400 transactions a second
    busyUntil_ = std::max(busyUntil_, events_.Now() + kWay) + service;
    if (busyUntil_ - events_.Now() > kTimeout) {
      busyUntil_ -= service; // refuses what it cannot answer in time
      events_.After(2 * kWay, [aReply] {
        aReply({ .status_ = TableStatus::Unavailable });
      });
      return;
    }
    events_.At(busyUntil_ + kWay,
               [this, aWrites, aReply] { aReply(table_.Transact(aWrites)); });
  }

  std::size_t transactions_ = 0;
  std::size_t rows_ = 0;

private:
  EventQueue& events_;
  Platform platform_;
  MemoryTable table_;
  TimePoint busyUntil_{};
};

class OnceRun
{
public:
  explicit OnceRun(const Row& aRow)
    : row_(aRow)
    , table_(events_, aRow.platform_)
  {
    const auto batched = row_.way_ == Way::Receiving || row_.way_ == Way::Home;
    for (auto i = 0; i < row_.hosts_; ++i) {
      batchers_.push_back(std::make_unique<TableBatcher>(TableBatcher::Options{
        .period_ = std::chrono::milliseconds{ batched ? 20 : 0 },
        .maxBatch_ = batched ? 64U : 1U }));
    }
  }

  auto Run() -> Outcome
  {
    constexpr double kSeconds = 20.0;
    const auto start = events_.Now();
    RandomEngine random(1);
    std::exponential_distribution<double> gap(row_.rate_);
    auto requests = 0;
    for (auto at = gap(random); at < kSeconds; at += gap(random)) {
      const auto number = requests++;
      const auto host = UniformBelow(random, batchers_.size());
      events_.At(start + Duration(static_cast<Duration::rep>(at * 1e6)),
                 [this, number, host] { Arrive(number, host); });
    }
    for (std::size_t i = 0; i < batchers_.size(); ++i) {
      Tick(i);
    }
    events_.RunUntil(start + std::chrono::seconds{ 24 });
    std::sort(added_.begin(), added_.end());
    const auto quantile = [this](double aAt) {
      return added_.empty() ? 0.0
                            : added_[static_cast<std::size_t>(
                                aAt * static_cast<double>(added_.size() - 1))];
    };
    return { .transactionsPerSecond_ =
               static_cast<double>(table_.transactions_) / kSeconds,
             .rowsPerSecond_ = static_cast<double>(table_.rows_) / kSeconds,
             .completedShare_ =
               static_cast<double>(completed_) / static_cast<double>(requests),
             .addedP50_ = quantile(0.5),
             .addedP99_ = quantile(0.99) };
  }

private:
  auto Arrive(int aNumber, std::size_t aHost) -> void
  {
    constexpr Duration kHop = std::chrono::milliseconds{ 1 };
    const auto since = events_.Now();
    if (row_.way_ == Way::Bound) {
      Complete(since);
      return;
    }
    const auto key = std::to_string(aNumber);
    if (row_.way_ != Way::Home) {
      Insert(key, aHost, since, Duration{ 0 });
      return;
    }
    std::size_t home = 0;
    for (std::size_t i = 1; i < batchers_.size(); ++i) {
      home = RendezvousWeight(key, std::to_string(i)) >
                 RendezvousWeight(key, std::to_string(home))
               ? i
               : home;
    }
    events_.After(
      kHop, [this, key, home, since, kHop] { Insert(key, home, since, kHop); });
  }

  auto Insert(const std::string& aKey, std::size_t aHost, TimePoint aSince,
              Duration aBack) -> void
  {
    const auto ticket = batchers_[aHost]->Add(
      { .key_ = { kOnceTable, aKey }, .value_ = "claimed", .expected_ = 0 });
    if (ticket) {
      waiting_[{ aHost, *ticket }] = { aKey, aSince - aBack };
      Pump(aHost);
    }
  }

  auto Pump(std::size_t aHost) -> void
  {
    while (auto batch = batchers_[aHost]->NextBatch(events_.Now())) {
      table_.Transact(std::move(*batch), [this, aHost](const auto& aReply) {
        for (const auto& result : batchers_[aHost]->OnReply(aReply)) {
          OnWritten(aHost, result);
        }
        Pump(aHost);
      });
    }
  }

  auto OnWritten(std::size_t aHost, const WriteResult& aResult) -> void
  {
    const auto node = waiting_.extract({ aHost, aResult.ticket_ });
    if (node.empty() || aResult.status_ != TableStatus::Done) {
      return;
    }
    Complete(node.mapped().second);
    // The end of the run is recorded by a second write, off the caller's path.
    batchers_[aHost]->Add({ .key_ = { kOnceTable, node.mapped().first },
                            .value_ = "done",
                            .expected_ = aResult.version_ });
  }

  auto Complete(TimePoint aSince) -> void
  {
    constexpr double kLongestWait = 8000.0;
    const auto added = ToMilliseconds(events_.Now() - aSince);
    if (added < kLongestWait) {
      ++completed_;
      added_.push_back(added);
    }
  }

  auto Tick(std::size_t aHost) -> void
  {
    Pump(aHost);
    events_.After(std::chrono::milliseconds{ 5 },
                  [this, aHost] { Tick(aHost); });
  }

  Row row_;
  EventQueue events_;
  FakeTable table_;
  std::vector<std::unique_ptr<TableBatcher>> batchers_;
  std::map<std::pair<std::size_t, WriteTicket>,
           std::pair<std::string, TimePoint>>
    waiting_;
  std::vector<double> added_;
  int completed_ = 0;
};

auto Rows() -> std::vector<Row>
{
  std::vector<Row> rows;
  for (const auto hosts : { 8, 64 }) {
    for (const auto rate : { 50.0, 180.0, 400.0, 1500.0 }) {
      rows.push_back({ "single", Way::Single, Platform::Healthy, hosts, rate });
      rows.push_back(
        { "receiving host", Way::Receiving, Platform::Healthy, hosts, rate });
      rows.push_back(
        { "home host", Way::Home, Platform::Healthy, hosts, rate });
      rows.push_back(
        { "bound key", Way::Bound, Platform::Healthy, hosts, rate });
    }
  }
  for (const auto platform : { Platform::Slow, Platform::Down }) {
    rows.push_back({ "single", Way::Single, platform, 8, 180.0 });
    rows.push_back({ "receiving host", Way::Receiving, platform, 8, 180.0 });
    rows.push_back({ "home host", Way::Home, platform, 8, 180.0 });
    rows.push_back({ "bound key", Way::Bound, platform, 8, 180.0 });
  }
  return rows;
}

auto Main(int aCount, char** aWords) -> int
{
  static const char* const kPlatforms[] = { "healthy", "slow", "down" };
  absl::ParseCommandLine(aCount, aWords);
  std::string page =
    "# Ways to run a request at most once\n\nWritten by `scripts/measure`: the "
    "batcher on a virtual clock before a table service\nthat takes 400 "
    "transactions a second (slow: 50). Two writes a request, insert and\n"
    "record. Chosen and why: [docs/design/once.md](../design/once.md).\n\n"
    "| way | platform | hosts | requests/s | transactions/s | rows/s | "
    "completed | added p50 ms | added p99 ms |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& row : Rows()) {
    const auto run = OnceRun(row).Run();
    page += fmt::format("| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.3f} | "
                        "{:.1f} | {:.1f} |\n",
                        row.name_, kPlatforms[static_cast<int>(row.platform_)],
                        row.hosts_, row.rate_, run.transactionsPerSecond_,
                        run.rowsPerSecond_, run.completedShare_, run.addedP50_,
                        run.addedP99_);
  }
  std::ofstream(absl::GetFlag(FLAGS_out) + "/once.md") << page;
  std::fputs(page.c_str(), stdout);
  return 0;
}

} // namespace

} // namespace bench

auto main(int aCount, char** aWords) -> int
{
  return bench::Main(aCount, aWords);
}
