#pragma once

#include <goldcrestcroft/src/Gateway/MetadataStore.h>

#include <map>
#include <random>

namespace testing {

/** \brief A store in memory whose calls take up to some milliseconds and may be
 * refused or lose their replies. */
class VersionStore : public goldcrestcroft::MetadataStore
{
public:
  using Reply = goldcrestcroft::Task<goldcrestcroft::StoreReply>;
  using Table = goldcrestcroft::StoreTable;

  VersionStore(goldcrestcroft::asio::io_context& aContext, unsigned aSeed)
    : context_(aContext)
    , random_(aSeed)
  {
  }

  auto ReadPage(Table aTable, goldcrestcroft::PageRange) -> Reply override
  {
    if (co_await Fails()) {
      co_return Refused();
    }
    auto reply = Done();
    for (const auto& [key, row] : rows_[aTable]) {
      reply.rows_.push_back(row);
    }
    co_return reply;
  }
  auto Follow(Table, const goldcrestcroft::StoreVersion&,
              goldcrestcroft::Duration) -> Reply override
  {
    co_return Refused();
  }
  auto Abandon(Table) -> void override {}
  auto Write(Table aTable, std::string aKey, std::optional<std::string> aValue)
    -> Reply override
  {
    std::vector<goldcrestcroft::RowChange> changes{
      { .key_ = std::move(aKey), .value_ = std::move(aValue) }
    };
    co_return co_await Change(aTable, std::move(changes));
  }
  auto ReadRow(Table aTable, std::string aKey) -> Reply override
  {
    if (co_await Fails()) {
      co_return Refused();
    }
    auto reply = Done();
    const auto& table = rows_[aTable];
    if (const auto row = table.find(aKey); row != table.end()) {
      reply.rows_.push_back(row->second);
    }
    // The reply takes its time as well.
    co_await Pause();
    co_return reply;
  }
  auto Change(Table aTable, std::vector<goldcrestcroft::RowChange> aChanges)
    -> Reply override
  {
    ++calls_;
    if (co_await Fails()) {
      co_return Refused();
    }
    auto& table = rows_[aTable];
    for (const auto& change : aChanges) {
      const auto row = table.find(change.key_);
      const auto version =
        row == table.end() ? 0 : row->second.version_.number_;
      if (change.expected_.value_or(version) != version) {
        goldcrestcroft::StoreReply conflict{
          .end_ = goldcrestcroft::StoreOutcome::Conflict
        };
        co_return conflict;
      }
    }
    ++version_;
    for (const auto& change : aChanges) {
      if (change.value_) {
        table[change.key_] = { .key_ = change.key_,
                               .value_ = *change.value_,
                               .version_ = { .number_ = version_ } };
      } else {
        table.erase(change.key_);
      }
    }
    auto reply = Done();
    co_await Pause();
    if (isMute_ || (losesReplies_ && Draw(4) == 0)) {
      co_return goldcrestcroft::StoreReply{};
    }
    co_return reply;
  }

  auto Draw(unsigned aBelow) -> unsigned { return random_() % aBelow; }

  bool away_ = false;
  bool losesReplies_ = false;
  /** Changes are made without a reply. */
  bool isMute_ = false;
  std::size_t calls_ = 0;

private:
  auto Pause() -> goldcrestcroft::Task<void>
  {
    goldcrestcroft::asio::steady_timer timer(
      context_, std::chrono::microseconds{ Draw(1500) });
    co_await timer.async_wait(goldcrestcroft::kAsTuple);
  }
  auto Fails() -> goldcrestcroft::Task<bool>
  {
    co_await Pause();
    co_return away_ || (losesReplies_ && Draw(8) == 0);
  }
  auto Done() const -> goldcrestcroft::StoreReply
  {
    return { .end_ = goldcrestcroft::StoreOutcome::Done,
             .version_ = { .number_ = version_ } };
  }
  static auto Refused() -> goldcrestcroft::StoreReply
  {
    return { .end_ = goldcrestcroft::StoreOutcome::Refused, .detail_ = "away" };
  }

  goldcrestcroft::asio::io_context& context_;
  std::mt19937 random_;
  std::map<Table, std::map<std::string, goldcrestcroft::StoreRow>> rows_;
  std::uint64_t version_ = 0;
};

} // namespace testing
