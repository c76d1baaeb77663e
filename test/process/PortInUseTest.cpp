#include "EntryFleet.h"

#include <doctest/doctest.h>

#include <csignal>

namespace testing {

namespace {

using namespace goldcrestcroft;

constexpr auto kHeld = std::chrono::milliseconds{ 1000 };

/** Another process's use of a port of the host. */
class HeldPort
{
public:
  HeldPort(std::uint16_t aPort, bool aDatagrams)
    : acceptor_(context_)
    , socket_(context_)
  {
    const auto address = asio::ip::make_address_v4(standins::TestIp());
    if (aDatagrams) {
      socket_.open(Udp::v4());
      socket_.bind({ address, aPort });
    } else {
      acceptor_.open(Tcp::v4());
      acceptor_.set_option(asio::socket_base::reuse_address(true));
      acceptor_.bind({ address, aPort });
      acceptor_.listen();
    }
  }

private:
  asio::io_context context_;
  Tcp::acceptor acceptor_;
  Udp::socket socket_;
};

struct Use
{
  std::uint16_t port_ = 0;
  bool datagrams_ = false;
};

const Use kUses[] = { { 8300 }, { 8301 },       { 8302 }, { 8303 },
                      { 8305 }, { 8305, true }, { 8306 } };

} // namespace

TEST_CASE("a host whose port is taken for a moment starts once it is free")
{
  for (const auto& use : kUses) {
    CAPTURE(use.port_);
    CAPTURE(use.datagrams_);
    EntryFleet fleet(1);
    fleet.ProcessOf(0).Kill();
    std::optional<HeldPort> held(std::in_place, use.port_, use.datagrams_);
    fleet.Start(0);
    std::this_thread::sleep_for(kHeld);
    CHECK(fleet.ProcessOf(0).IsRunning());
    held.reset();
    CHECK(fleet.AwaitReady(0));
    CHECK(fleet.Get(0, "/safe/x").status_ == 200);
    CHECK(CountOf(fleet.Log(0), "\"event\":\"address_taken\"") == 1);
  }
}

TEST_CASE("a host that waits for a port stops in order")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  const HeldPort held(8300, false);
  fleet.Start(0);
  std::this_thread::sleep_for(kHeld);
  REQUIRE(fleet.ProcessOf(0).IsRunning());
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait() == 0);
  CHECK(CountOf(fleet.Log(0), "\"event\":\"stopped\"") == 1);
}

TEST_CASE("a host whose port stays taken ends and names the port")
{
  EntryFleet fleet(1);
  fleet.ProcessOf(0).Kill();
  const HeldPort held(8300, false);
  fleet.ChangeSettings(0, R"("grace_s": 5)", R"("grace_s": 0.1)");
  fleet.Start(0);
  CHECK(fleet.ProcessOf(0).Wait() == 1);
  CHECK(fleet.Log(0).find(":8300 cannot be listened on") != std::string::npos);
}

} // namespace testing
