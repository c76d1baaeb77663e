#include "EndlessStandin.h"

#include "RequestIdMark.h"

namespace standins {

using namespace goldcrestcroft;

namespace {

constexpr std::size_t kBlockBytes = 16'384;
// After this many bytes, one block is sent every kThrottleInterval to limit
// the load on the machine.
constexpr std::size_t kUnthrottledBytes = 64U << 20U;
constexpr auto kThrottleInterval = std::chrono::milliseconds{ 20 };

auto Fill(const std::string& aUnit) -> std::string
{
  std::string block;
  while (block.size() < kBlockBytes) {
    block += aUnit;
  }
  return block;
}

} // namespace

auto EndlessStandin::Write(Tcp::socket& aSocket, EndlessBytes aBytes,
                           std::string aRequestId) -> Task<void>
{
  auto text = WithId(aBytes.begin_, aRequestId);
  const auto slow = aBytes.pause_ > std::chrono::milliseconds{};
  const auto unit = slow ? aBytes.unit_ : Fill(aBytes.unit_);
  asio::steady_timer timer(aSocket.get_executor());
  std::size_t sent = 0;
  ++open_;
  for (;;) {
    const auto [error, size] =
      co_await asio::async_write(aSocket, asio::buffer(text), kAsTuple);
    if (error || ProbeIdle(aSocket) == IdleState::Closed) {
      break;
    }
    sent += size;
    if (slow || sent > kUnthrottledBytes) {
      timer.expires_after(slow ? aBytes.pause_ : kThrottleInterval);
      co_await timer.async_wait(kAsTuple);
    }
    text = unit;
  }
  --open_;
}

} // namespace standins
