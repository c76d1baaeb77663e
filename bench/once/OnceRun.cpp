#include "OnceRun.h"

#include <algorithm>
#include <random>

namespace bench {

using namespace goldcrestcroft;

OnceRun::OnceRun(const OnceScenario& aScenario)
  : scenario_(aScenario)
  , table_(events_, aScenario.platform_)
{
  const auto batches = scenario_.strategy_ == InsertStrategy::Receiving ||
                       scenario_.strategy_ == InsertStrategy::Home;
  for (auto i = 0; i < scenario_.hosts_; ++i) {
    batchers_.push_back(std::make_unique<TableBatcher>(TableBatcher::Options{
      .period_ = std::chrono::milliseconds{ batches ? 20 : 0 },
      .maxBatch_ = batches ? 64U : 1U }));
  }
}

auto OnceRun::Run() -> OnceRunResult
{
  constexpr double kSeconds = 20.0;
  const auto start = events_.Now();
  RandomEngine random(1);
  std::exponential_distribution<double> gap(scenario_.rate_);
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
  std::sort(addedMilliseconds_.begin(), addedMilliseconds_.end());
  const auto quantile = [this](double aFraction) {
    return addedMilliseconds_.empty()
             ? 0.0
             : addedMilliseconds_[static_cast<std::size_t>(
                 aFraction *
                 static_cast<double>(addedMilliseconds_.size() - 1))];
  };
  return { .transactionsPerSecond_ =
             static_cast<double>(table_.transactions_) / kSeconds,
           .rowsPerSecond_ = static_cast<double>(table_.rows_) / kSeconds,
           .completedShare_ =
             static_cast<double>(completed_) / static_cast<double>(requests),
           .addedP50_ = quantile(0.5),
           .addedP99_ = quantile(0.99) };
}

auto OnceRun::Arrive(int aNumber, std::size_t aHost) -> void
{
  constexpr Duration kHop = std::chrono::milliseconds{ 1 };
  const auto start = events_.Now();
  if (scenario_.strategy_ == InsertStrategy::Bound) {
    Complete(start);
    return;
  }
  const auto key = std::to_string(aNumber);
  if (scenario_.strategy_ != InsertStrategy::Home) {
    Insert(key, aHost, start, Duration{ 0 });
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
    kHop, [this, key, home, start, kHop] { Insert(key, home, start, kHop); });
}

auto OnceRun::Insert(const std::string& aKey, std::size_t aHost,
                     TimePoint aStart, Duration aReturnDelay) -> void
{
  const auto ticket = batchers_[aHost]->Add(
    { .key_ = { kOnceTable, aKey }, .value_ = "claimed", .expected_ = 0 });
  if (ticket) {
    pendingInserts_[{ aHost, *ticket }] = { aKey, aStart - aReturnDelay };
    Pump(aHost);
  }
}

auto OnceRun::Pump(std::size_t aHost) -> void
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

auto OnceRun::OnWritten(std::size_t aHost, const WriteResult& aResult) -> void
{
  const auto node = pendingInserts_.extract({ aHost, aResult.ticket_ });
  if (node.empty() || aResult.status_ != TableStatus::Done) {
    return;
  }
  Complete(node.mapped().second);
  // A second write records the end of the run; the caller does not wait for it.
  batchers_[aHost]->Add({ .key_ = { kOnceTable, node.mapped().first },
                          .value_ = "done",
                          .expected_ = aResult.version_ });
}

auto OnceRun::Complete(TimePoint aStart) -> void
{
  constexpr double kMaxWaitMilliseconds = 8000.0;
  const auto added = ToMilliseconds(events_.Now() - aStart);
  if (added < kMaxWaitMilliseconds) {
    ++completed_;
    addedMilliseconds_.push_back(added);
  }
}

auto OnceRun::Tick(std::size_t aHost) -> void
{
  Pump(aHost);
  events_.After(std::chrono::milliseconds{ 5 }, [this, aHost] { Tick(aHost); });
}

} // namespace bench
