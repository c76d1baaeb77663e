#include <doctest/doctest.h>
#include <goldcrestcroft/Gateway.h>
#include <platform/TableCodec.h>

#include <algorithm>
#include <map>

namespace testing {

namespace {

using namespace goldcrestcroft;

/** \brief A store that records the calls. */
class RecordingStore : public MetadataStore
{
public:
  auto ReadPage(StoreTable, PageRange) -> Task<StoreReply> override
  {
    co_return Done();
  }
  auto Follow(StoreTable, const StoreVersion&, Duration)
    -> Task<StoreReply> override
  {
    co_return Done();
  }
  auto Abandon(StoreTable) -> void override {}
  auto Write(StoreTable, std::string aKey, std::optional<std::string> aValue)
    -> Task<StoreReply> override
  {
    calls_.push_back(aKey);
    if (aValue) {
      rows_[aKey] = *aValue;
    } else {
      rows_.erase(aKey);
    }
    co_return Done();
  }

  auto ReadRow(StoreTable, std::string) -> Task<StoreReply> override
  {
    co_return Done();
  }
  auto Change(StoreTable, std::vector<RowChange>) -> Task<StoreReply> override
  {
    co_return Done();
  }

  std::vector<std::string> calls_;
  std::map<std::string, std::string> rows_;
  std::uint64_t era_ = 1;

private:
  auto Done() const -> StoreReply
  {
    StoreReply reply;
    reply.end_ = StoreOutcome::Done;
    reply.version_.era_ = era_;
    return reply;
  }
};

/** \brief Rows of one host of a fleet. */
class RowsFixture
{
public:
  explicit RowsFixture(std::size_t aHosts)
    : rows_(context_,
            { .known_ =
                [this](std::uint64_t aRequest) {
                  return table_.Find(aRequest, clock_.Now());
                },
              .hosts_ = [aHosts] { return aHosts; } },
            codec_, store_)
  {
  }

  auto Learn(SuspectNotice aNotice) -> void
  {
    aNotice.left_ = std::chrono::minutes{ 10 };
    table_.Merge(aNotice, clock_.Now());
    rows_.Track(aNotice);
  }
  auto Complete(std::uint64_t aRequest) -> void
  {
    table_.Merge(*table_.OnCompleted(aRequest, clock_.Now()), clock_.Now());
  }
  /** \brief The store returns to an empty copy. */
  auto RestoreStore() -> void
  {
    store_.rows_.clear();
    store_.calls_.clear();
    rows_.OnStoreRestored(++store_.era_);
  }
  auto Rows() -> HeldRequestRows& { return rows_; }
  auto RunFor(Duration aTime) -> void { context_.run_for(aTime); }
  auto RowOf(std::uint64_t aRequest) -> std::optional<SuspectNotice>
  {
    const auto row = store_.rows_.find(ToHex(aRequest));
    return row == store_.rows_.end()
             ? std::nullopt
             : std::optional(
                 codec_.DecodeSuspectNotice(row->first, row->second).value());
  }
  auto Store() -> RecordingStore& { return store_; }

private:
  asio::io_context context_;
  SuspendAwareClock clock_;
  platform::TableCodec codec_;
  RecordingStore store_;
  SuspectTable table_;
  HeldRequestRows rows_;
};

auto Suspected(std::uint64_t aRequest, std::uint32_t aCount) -> SuspectNotice
{
  return { .request_ = aRequest,
           .level_ = SuspectLevel::Suspected,
           .count_ = aCount };
}

} // namespace

TEST_CASE(
  "held request rows: a wave of suspicions takes no more writes than all "
  "hosts together may make")
{
  constexpr std::size_t kSuspicions = 60;
  constexpr std::size_t kHosts = 40; // One call a second each.
  RowsFixture fixture(kHosts);
  for (std::uint64_t i = 1; i <= kSuspicions; ++i) {
    fixture.Learn(Suspected(i, 2));
  }
  fixture.RunFor(std::chrono::milliseconds{ 2500 });
  CHECK(!fixture.Store().calls_.empty());
  CHECK(fixture.Store().calls_.size() <= 3);
}

TEST_CASE(
  "held request rows: a higher count is written ahead of new suspicions")
{
  constexpr std::size_t kHosts = 640;
  RowsFixture fixture(kHosts);
  for (std::uint64_t i = 1; i <= 60; ++i) {
    fixture.Learn(Suspected(i, 2));
  }
  fixture.RunFor(std::chrono::milliseconds{ 100 });
  constexpr std::uint64_t kRequest = 1000;
  fixture.Learn(Suspected(kRequest, 3));
  fixture.RunFor(std::chrono::milliseconds{ 100 });
  const auto row = fixture.RowOf(kRequest);
  REQUIRE(row);
  CHECK(*row == Suspected(kRequest, 3));
}

TEST_CASE("held request rows: a row follows the count and is removed when its "
          "request is cleared")
{
  RowsFixture fixture(1);
  fixture.Learn(Suspected(1, 2));
  fixture.RunFor(std::chrono::milliseconds{ 200 });
  CHECK(fixture.RowOf(1) == Suspected(1, 2));
  fixture.Learn(Suspected(1, 3));
  fixture.RunFor(std::chrono::milliseconds{ 200 });
  CHECK(fixture.RowOf(1) == Suspected(1, 3));
  fixture.Learn({ .request_ = 1, .level_ = SuspectLevel::Quarantined });
  fixture.RunFor(std::chrono::milliseconds{ 200 });
  CHECK(fixture.RowOf(1) ==
        SuspectNotice{ .request_ = 1, .level_ = SuspectLevel::Quarantined });
  fixture.Complete(1);
  fixture.RunFor(std::chrono::milliseconds{ 1500 });
  CHECK_FALSE(fixture.RowOf(1));
}

TEST_CASE("held request rows: what a restored store lacks is written again, "
          "once, and no faster than all hosts together may write")
{
  constexpr std::size_t kHosts = 40; // One call a second each.
  constexpr std::uint64_t kVerdicts = 4;
  RowsFixture fixture(kHosts);
  for (std::uint64_t i = 1; i <= kVerdicts; ++i) {
    // Requests are hashes, so that their calls are spread evenly.
    fixture.Learn({ .request_ = Fingerprint(std::to_string(i)),
                    .level_ = SuspectLevel::Quarantined });
  }
  fixture.RunFor(std::chrono::milliseconds{ 200 });
  REQUIRE(fixture.Store().rows_.size() == kVerdicts);
  fixture.RestoreStore();
  fixture.RunFor(std::chrono::milliseconds{ 100 });
  CHECK(fixture.Store().calls_.size() < kVerdicts);
  fixture.RunFor(std::chrono::seconds{ kVerdicts });
  CHECK(fixture.Store().rows_.size() == kVerdicts);
  CHECK(fixture.Store().calls_.size() == kVerdicts);
}

TEST_CASE("held request rows: a write that was confirmed in an earlier era is "
          "made again")
{
  RowsFixture fixture(1);
  fixture.Rows().OnStoreRestored(2);
  fixture.Learn({ .request_ = 1, .level_ = SuspectLevel::Quarantined });
  fixture.RunFor(std::chrono::milliseconds{ 200 });
  CHECK(fixture.Store().calls_.size() == 1);
  fixture.Store().era_ = 2;
  fixture.RunFor(std::chrono::milliseconds{ 2500 });
  CHECK(fixture.Store().calls_.size() == 2);
}

} // namespace testing
