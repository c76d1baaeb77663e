#include "Failure.h"

#include <goldcrestcroft/src/Server/Control/ControlLoop.h>

#include <thread>

namespace testing {

using namespace goldcrestcroft;

TEST_CASE("control: a host knows that its earlier incarnations have ended")
{
  Metrics metrics;
  std::optional<PeerSocket> socket;
  ValueOf([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(opened, PeerSocket::Open({ "127.0.0.1", 0 }));
    socket.emplace(std::move(opened));
    return true;
  });
  REQUIRE(socket.has_value());
  ControlLoop control({ .settings_ = { .host_ = { "h" } },
                        .incarnation_ = 5,
                        .memory_ = std::make_shared<SharedMemoryTable>() },
                      std::move(*socket), metrics, [](TrafficMessage) {});
  CHECK_FALSE(control.IsFresh());
  std::thread thread([&] { control.Run(); });
  while (!control.IsFresh()) {
    std::this_thread::yield();
  }
  const auto view = control.View();
  CHECK(view->HasEnded({ "h" }, 4));
  CHECK_FALSE(view->HasEnded({ "h" }, 5));
  CHECK_FALSE(view->HasEnded({ "stranger" }, 1));
  control.Stop();
  thread.join();
}

} // namespace testing
