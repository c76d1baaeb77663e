#include "PoisonWorld.h"

namespace testing {

using namespace goldcrestcroft;
using std::chrono::milliseconds;

namespace {

constexpr double kDatagramLoss = 0.015;

} // namespace

auto PoisonWorld::TickHost(std::size_t aHost, std::string aId) -> void
{
  auto& host = hosts_[aHost];
  if (!host.suspects_ || host.id_ != aId) {
    return;
  }
  Deliver(aHost, host.suspects_->Tick(clock_.Now()));
  After(milliseconds{ 100 }, [this, aHost, aId] { TickHost(aHost, aId); });
}

auto PoisonWorld::Deliver(std::size_t aFrom,
                          std::vector<SuspectHost::Outgoing> aOut) -> void
{
  for (auto& out : aOut) {
    ++outcome_.datagrams_;
    auto to = aFrom;
    while (out.to_.empty() && to == aFrom) {
      to = LiveHost();
    }
    const auto id = out.to_.empty() ? hosts_[to].id_ : out.to_;
    if (Random(1000) < static_cast<std::size_t>(kDatagramLoss * 1000)) {
      continue;
    }
    After(Between(1, 50), [this, id, datagram = std::move(out.datagram_)] {
      const auto index = hostOf_.at(id);
      if (auto& host = hosts_[index]; host.suspects_ && host.id_ == id) {
        Deliver(index, host.suspects_->OnDatagram(datagram, clock_.Now()));
      }
    });
  }
}

auto PoisonWorld::StartHost(std::size_t aHost) -> void
{
  auto& host = hosts_[aHost];
  host.id_ = "h" + std::to_string(aHost) + "-" + std::to_string(++numbers_);
  host.startedAt_ = clock_.Now();
  host.suspects_.emplace(host.id_);
  hostOf_[host.id_] = aHost;
  After(Between(0, 100), [this, aHost, id = host.id_] { TickHost(aHost, id); });
}

auto PoisonWorld::RestartSome() -> void
{
  const auto host = LiveHost();
  hosts_[host].suspects_.reset();
  After(milliseconds{ 2000 }, [this] { PublishHosts(); });
  After(Between(500, 3000), [this, host] {
    StartHost(host);
    After(milliseconds{ 300 }, [this] { PublishHosts(); });
    // As soon as the host has run for contact_.
    After(options_.contact_ + milliseconds{ 1 }, [this, host] {
      for (const auto& [request, poison] : poisons_) {
        if (poison.crashes_ > 0) {
          Send({ .request_ = request, .host_ = host });
        }
      }
    });
  });
  After(Between(4000, 6000), [this] { RestartSome(); });
}

auto PoisonWorld::PublishHosts() -> void
{
  std::vector<std::string> ids;
  for (const auto& host : hosts_) {
    if (host.suspects_) {
      ids.push_back(host.id_);
    }
  }
  for (auto& host : hosts_) {
    if (host.suspects_) {
      host.suspects_->SetHosts(ids);
    }
  }
}

} // namespace testing
