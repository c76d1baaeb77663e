#include <doctest/doctest.h>
#include <goldcrestcroft/src/Server/Http/CallerSocket.h>

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

namespace testing {

namespace {

using namespace goldcrestcroft;

struct Pair
{
  Pair() { socketpair(AF_UNIX, SOCK_STREAM, 0, ends_); }
  ~Pair()
  {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pair(const Pair&) = delete;
  auto operator=(const Pair&) -> Pair& = delete;

  auto ReadByte() const -> bool
  {
    char byte = 0;
    return recv(ends_[1], &byte, 1, 0) == 1;
  }

  int ends_[2]{};
};

} // namespace

TEST_CASE("caller socket: accepts the next request once the last byte of a "
          "response arrived")
{
  const Pair pair;
  CallerSocket socket(pair.ends_[0]);
  constexpr auto kRounds = 20'000;
  std::atomic<int> asked = 0;
  auto refused = 0;
  std::thread host([&] {
    for (auto round = 1; round <= kRounds; ++round) {
      while (asked < round) {
        std::this_thread::yield();
      }
      socket.Finish("x", false);
    }
  });
  for (auto round = 0; round < kRounds; ++round) {
    refused += socket.TryAcquire() ? 0 : 1;
    ++asked;
    REQUIRE(pair.ReadByte());
  }
  host.join();
  CHECK(refused == 0);
}

TEST_CASE("caller socket: a second request closes the connection after the "
          "first response")
{
  const Pair pair;
  CallerSocket socket(pair.ends_[0]);
  CHECK(socket.TryAcquire());
  CHECK_FALSE(socket.TryAcquire());
  socket.Finish("x", false);
  CHECK(pair.ReadByte());
  CHECK_FALSE(pair.ReadByte()); // end of stream
}

TEST_CASE("caller socket: writes nothing to a descriptor that was closed and "
          "reused")
{
  const Pair first;
  CallerSocket socket(first.ends_[0]);
  socket.MarkDisconnected();
  close(first.ends_[0]);
  const Pair second; // reuses the descriptor number
  socket.Write("late");
  char byte = 0;
  CHECK(recv(second.ends_[1], &byte, 1, MSG_DONTWAIT) < 0);
  CHECK(socket.IsDisconnected());
}

TEST_CASE(
  "caller socket: unread bytes of a slow caller are buffered up to a limit")
{
  const Pair pair;
  CallerSocket socket(pair.ends_[0]);
  const std::string piece(1 << 20, 'x');
  for (auto i = 0; i < 6; ++i) {
    socket.Write(piece);
  }
  CHECK(socket.PendingWriteDescriptor() >= 0);
  for (auto i = 0; i < 6; ++i) {
    socket.Write(piece);
  }
  CHECK(socket.IsDisconnected());
}

} // namespace testing
