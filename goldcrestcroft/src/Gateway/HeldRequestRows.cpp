#include "HeldRequestRows.h"

#include "../Observability/Log.h"

namespace goldcrestcroft {

auto HeldRequestRows::Pause() -> Task<void>
{
  asio::steady_timer timer(context_, options_.lookEvery_);
  co_await timer.async_wait(kAsTuple);
}

auto HeldRequestRows::Keep(const SuspectNotice& aNotice) -> void
{
  if (kept_ >= options_.mostKept_) {
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", ToHex(aNotice.request_) },
                 { "reason", "too many are held back" } });
    return;
  }
  ++kept_;
  asio::co_spawn(context_, Maintain(aNotice), asio::detached);
}

auto HeldRequestRows::Maintain(SuspectNotice aNotice) -> Task<void>
{
  const auto [key, value] = codec_.EncodeHeldRequest(aNotice);
  co_await Put(key, value, aNotice.request_);
  while (options_.isHeld_(aNotice.request_)) {
    co_await Pause();
  }
  co_await Put(key, std::nullopt, aNotice.request_);
  --kept_;
}

auto HeldRequestRows::Put(std::string aKey, std::optional<std::string> aValue,
                          std::uint64_t aRequest) -> Task<void>
{
  while (options_.isHeld_(aRequest) == aValue.has_value()) {
    const auto reply =
      co_await store_.Write(StoreTable::HeldRequests, aKey, aValue);
    if (reply.end_ == StoreEnd::Done) {
      co_return;
    }
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", aKey }, { "reason", reply.detail_ } });
    co_await Pause();
  }
}

auto HeldRequestRows::ReadAll() -> Task<std::vector<SuspectNotice>>
{
  auto reply = co_await store_.ReadAll(StoreTable::HeldRequests);
  while (reply.end_ != StoreEnd::Done) {
    co_await Pause();
    reply = co_await store_.ReadAll(StoreTable::HeldRequests);
  }
  std::vector<SuspectNotice> notices;
  for (const auto& row : reply.rows_) {
    Handle(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(notice, codec_.DecodeHeldRequest(row.key_, row.value_));
        notice.left_ = options_.holdFor_;
        notices.push_back(notice);
        return {};
      },
      [&](const Error& aError) {
        Log::Write(
          LogLevel::Warning, "held_request_unreadable",
          { { "reason", aError.message_ }, { "remedy", aError.remedy_ } });
      });
  }
  co_return notices;
}

} // namespace goldcrestcroft
