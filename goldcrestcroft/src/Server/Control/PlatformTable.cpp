#include "PlatformTable.h"

#include <ctime>

namespace goldcrestcroft {

namespace {

auto NowSeconds() -> std::uint64_t
{
  return static_cast<std::uint64_t>(std::time(nullptr));
}

// The statuses of a conflict and of an unavailable service prove that nothing
// was written. A request that was sent and got no response proves nothing.
auto StatusOf(const HttpResponse& aReply) -> TableStatus
{
  constexpr long kOk = 200;
  constexpr long kConflict = 409;
  constexpr long kUnavailable = 503;
  if (aReply.end_ == HttpOutcome::NotSent) {
    return TableStatus::Unavailable;
  }
  if (aReply.end_ != HttpOutcome::Answered) {
    return TableStatus::Lost;
  }
  switch (aReply.status_) {
    case kOk:
      return TableStatus::Done;
    case kConflict:
      return TableStatus::Conflict;
    case kUnavailable:
      return TableStatus::Unavailable;
    default:
      return TableStatus::Lost;
  }
}

auto StatusLabel(TableStatus aStatus) -> std::string
{
  switch (aStatus) {
    case TableStatus::Done:
      return "done";
    case TableStatus::Conflict:
      return "conflict";
    case TableStatus::Unavailable:
      return "unavailable";
    case TableStatus::Lost:
      break;
  }
  return "lost";
}

template<typename Reply, typename Decode>
auto ReadReplyBody(const HttpResponse& aReply, Decode&& aDecode) -> Reply
{
  const auto status = StatusOf(aReply);
  if (status != TableStatus::Done && status != TableStatus::Conflict) {
    return { .status_ = status };
  }
  return Handle([&] { return aDecode(aReply.body_); },
                [](const Error&) -> Reply { return {}; });
}

} // namespace

auto PlatformTable::Call(const std::string& aPath, std::string aBody,
                         std::function<void(const HttpResponse&)> aOnEnd)
  -> void
{
  http_.Send({ .url_ = "http://" + options_.address_ + aPath,
               .body_ = std::move(aBody),
               .timeout_ = options_.timeout_,
               .connectTimeout_ = options_.timeout_ },
             { .onEnd_ = std::move(aOnEnd) });
}

auto PlatformTable::Transact(std::vector<RowWrite> aWrites,
                             TransactHandler aOnWritten) -> void
{
  if (options_.memory_) {
    TransactReply reply;
    {
      const std::lock_guard lock(options_.memory_->mutex_);
      reply = options_.memory_->table_.Transact(aWrites, NowSeconds());
    }
    aOnWritten(reply);
    return;
  }
  Call("/v1/transact", EncodeWrites(aWrites),
       [this, aOnWritten = std::move(aOnWritten)](const HttpResponse& aReply) {
         const auto reply =
           ReadReplyBody<TransactReply>(aReply, DecodeTransactReply);
         metrics_.CountTableCall(StatusLabel(reply.status_));
         aOnWritten(reply);
       });
}

auto PlatformTable::Read(std::vector<RowKey> aKeys, ReadHandler aOnRead) -> void
{
  if (options_.memory_) {
    ReadReply reply;
    {
      const std::lock_guard lock(options_.memory_->mutex_);
      reply = options_.memory_->table_.Read(aKeys, NowSeconds());
    }
    aOnRead(reply);
    return;
  }
  Call("/v1/read", EncodeKeys(aKeys),
       [this, aOnRead = std::move(aOnRead)](const HttpResponse& aReply) {
         const auto reply = ReadReplyBody<ReadReply>(aReply, DecodeReadReply);
         metrics_.CountTableCall(StatusLabel(reply.status_));
         aOnRead(reply);
       });
}

} // namespace goldcrestcroft
