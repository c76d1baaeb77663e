#include "StreamFollower.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace soak {

using namespace goldcrestcroft;

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds{ 1000 };
constexpr auto kCallTimeout = std::chrono::milliseconds{ 5000 };
/** Time that the route allows. */
constexpr std::chrono::milliseconds kRouteTimeout{ 3000 };
/** A client gives a stream up after this time. */
constexpr auto kMaxAge = std::chrono::seconds{ 10 };
constexpr int kMaxBackOffMs = 400;
constexpr int kMinStreamMs = 600;
constexpr int kMaxStreamMs = 2400;
constexpr int kEvents = 6;
/** One in so many reads its response slowly. */
constexpr int kSlowReaders = 4;
constexpr auto kSlowReadPause = std::chrono::milliseconds{ 60 };

/** Appends the complete events of the bytes. */
auto AppendEvents(const std::string& aBytes, FollowedStream& aStream) -> bool
{
  const std::string idField = "id: ";
  const std::string dataField = "\ndata: ";
  auto appended = false;
  std::size_t at = 0;
  for (auto end = aBytes.find("\n\n"); end != std::string::npos;
       end = aBytes.find("\n\n", at)) {
    const auto event = aBytes.substr(at, end - at);
    at = end + 2;
    const auto data = event.find(dataField);
    if (!event.starts_with(idField) || data == std::string::npos) {
      continue;
    }
    const auto text = event.substr(data + dataField.size());
    aStream.events_.push_back({ .id_ = std::stoi(event.substr(idField.size())),
                                .version_ = text.substr(0, text.find(' ')) });
    appended = true;
  }
  return appended;
}

} // namespace

StreamFollower::StreamFollower(asio::io_context& aContext, SoakFleet& aFleet,
                               std::vector<CallRecord>& aRecords,
                               std::uint64_t aSeed)
  : context_(aContext)
  , fleet_(aFleet)
  , records_(aRecords)
  , random_(aSeed)
  , name_("follower-" + std::to_string(aSeed))
{
}

auto StreamFollower::Pick(int aBelow) -> int
{
  return std::uniform_int_distribution<int>(0, aBelow - 1)(random_);
}

auto StreamFollower::Run() -> Task<void>
{
  const SuspendAwareClock clock;
  while (!stopRequested_) {
    FollowedStream stream{ .length_ = kEvents };
    const auto target =
      "/stream/x?take_ms=" +
      std::to_string(kMinStreamMs + Pick(kMaxStreamMs - kMinStreamMs));
    const auto until = clock.Now() + kMaxAge;
    while (!stopRequested_ && !stream.ended_ && clock.Now() < until) {
      co_await Try(stream, target);
      const std::chrono::milliseconds pause{ Pick(kMaxBackOffMs) };
      co_await Sleep(context_, pause);
    }
    streams_.push_back(std::move(stream));
  }
}

auto StreamFollower::Try(FollowedStream& aStream, std::string aTarget)
  -> Task<void>
{
  const SuspendAwareClock clock;
  const auto host =
    static_cast<std::size_t>(Pick(static_cast<int>(fleet_.Hosts().size())));
  beast::tcp_stream connection(context_);
  connection.expires_after(kConnectTimeout);
  const auto address = ParseTcpEndpoint(fleet_.CallerAddress(host));
  const auto [connectError] =
    co_await connection.async_connect(address, kAsTuple);
  if (connectError) {
    co_return;
  }
  // Followed streams are judged by FindOrderViolations only.
  CallRecord record{ .id_ = name_ + "-" + std::to_string(++calls_),
                     .host_ = host,
                     .incarnation_ = fleet_.Hosts()[host].incarnation_,
                     .kind_ = CallKind::Followed,
                     .sentAt_ = clock.Now(),
                     .timeout_ = kRouteTimeout,
                     .abandoned_ = true };
  http::request<http::empty_body> call(http::verb::get, aTarget, 11);
  call.set("Host", "try.example");
  call.set("X-Api-Key", "key1");
  call.set("Goldcrestcroft-Request-Id", record.id_);
  call.set("Goldcrestcroft-Deadline-Ms", std::to_string(kRouteTimeout.count()));
  call.set("Goldcrestcroft-Pieces", "2,3");
  call.set("Goldcrestcroft-Piece-Key", record.id_);
  if (!aStream.events_.empty()) {
    call.set("Last-Event-Id", std::to_string(aStream.events_.back().id_));
    call.set("Resumes", aStream.attempt_);
  }
  // Engines may run it before its response is here.
  const auto number = records_.size();
  records_.push_back(record);
  connection.expires_after(kCallTimeout);
  co_await http::async_write(connection, call, kAsTuple);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  auto [error, size] =
    co_await http::async_read_header(connection, buffer, parser, kAsTuple);
  const auto pause =
    Pick(kSlowReaders) == 0 ? kSlowReadPause : std::chrono::milliseconds{};
  while (!error && !parser.is_done()) {
    std::tie(error, size) =
      co_await http::async_read_some(connection, buffer, parser, kAsTuple);
    co_await Sleep(context_, pause);
  }
  record.endedAt_ = clock.Now();
  record.complete_ = !error && parser.is_done();
  if (parser.is_header_done()) {
    record.status_ = static_cast<int>(parser.get().result_int());
  }
  if (record.status_ == 200) {
    const auto isFirst = aStream.events_.empty();
    if (AppendEvents(parser.get().body(), aStream)) {
      ++aStream.parts_;
      aStream.attempt_ = isFirst ? record.id_ : aStream.attempt_;
    }
    aStream.ended_ = record.complete_;
  }
  records_[number] = std::move(record);
}

} // namespace soak
