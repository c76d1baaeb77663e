#include "HeldRequestRows.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

namespace goldcrestcroft {

auto HeldRequestRows::Pause() -> Task<void>
{
  asio::steady_timer timer(context_, options_.lookEvery_);
  co_await timer.async_wait(kAsTuple);
}

auto HeldRequestRows::Keep(const SuspectNotice& aNotice, bool aIsThere) -> void
{
  if (rows_.size() >= options_.mostKept_) {
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", ToHex(aNotice.request_) },
                 { "reason", "too many are held back" } });
    return;
  }
  rows_[aNotice.request_] = { .notice_ = aNotice, .isThere_ = aIsThere };
  if (!maintaining_) {
    maintaining_ = true;
    asio::co_spawn(
      context_,
      KeepRunning("maintain_held_requests", [this] { return Maintain(); }),
      LogFailure{ "maintain_held_requests" });
  }
}

auto HeldRequestRows::Maintain() -> Task<void>
{
  while (!rows_.empty()) {
    std::vector<std::uint64_t> requests;
    for (const auto& [request, row] : rows_) {
      requests.push_back(request);
    }
    for (const auto request : requests) {
      const auto row = rows_.at(request);
      const auto held = options_.isHeld_(request);
      auto [key, value] = codec_.EncodeHeldRequest(row.notice_);
      if (held && !row.isThere_) {
        rows_.at(request).isThere_ = co_await Put(key, value);
      } else if (!held) {
        // A write without an answer may have been done.
        const auto removed = co_await Put(key, std::nullopt);
        if (removed) {
          rows_.erase(request);
        }
      }
    }
    co_await Pause();
  }
  maintaining_ = false;
}

auto HeldRequestRows::Put(std::string aKey, std::optional<std::string> aValue)
  -> Task<bool>
{
  const auto reply =
    co_await store_.Write(StoreTable::HeldRequests, aKey, std::move(aValue));
  if (reply.end_ != StoreEnd::Done) {
    Log::Write(LogLevel::Warning, "held_request_not_stored",
               { { "fingerprint", aKey }, { "reason", reply.detail_ } });
  }
  co_return reply.end_ == StoreEnd::Done;
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
