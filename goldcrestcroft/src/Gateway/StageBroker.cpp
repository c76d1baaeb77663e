#include "StageBroker.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

namespace goldcrestcroft {

namespace {

/** How long a collector's word on its backlog counts. */
constexpr auto kBacklogLife = std::chrono::milliseconds{ 500 };
/** An order that was sent so often without a result is made here. */
constexpr std::size_t kMostMoves = 4;

/** The port for orders is the one after that for state. */
auto StageAddressOf(const FleetHost& aHost) -> std::string
{
  const auto endpoint = ParseTcpEndpoint(aHost.peerAddress_);
  return endpoint.address().to_string() + ":" +
         std::to_string(endpoint.port() + 1);
}

} // namespace

StageBroker::StageBroker(asio::io_context& aContext, std::string aListen,
                         StageDesk& aDesk)
  : context_(aContext)
  , listen_(std::move(aListen))
  , desk_(aDesk)
{
}

auto StageBroker::Start() -> Result<void>
{
  BOOST_LEAF_AUTO(acceptor, Listen(context_, listen_));
  acceptor_.emplace(std::move(acceptor));
  asio::co_spawn(context_,
                 KeepRunning("accept_brokers", [this] { return Accept(); }),
                 LogFailure{ "accept_brokers" });
  asio::co_spawn(
    context_,
    KeepRunning("spread_backlogs", [this] { return SpreadBacklogs(); }),
    LogFailure{ "spread_backlogs" });
  return {};
}

auto StageBroker::LinkToCollector(const std::string& aService)
  -> std::shared_ptr<PeerLink>
{
  const auto collector = CollectorOf(aService);
  return collector == fleet_->self_ ? nullptr : LinkTo(collector);
}

auto StageBroker::SetFleet(std::shared_ptr<const FleetView> aFleet) -> void
{
  fleet_ = std::move(aFleet);
  for (auto link = links_.begin(); link != links_.end();) {
    const auto gone = fleet_->Find(link->first) == nullptr;
    if (gone) {
      link->second->Close("the host is gone");
    }
    link = gone ? links_.erase(link) : std::next(link);
  }
  ReviewOffices(std::exchange(collectors_, {}));
  if (fleet_->settled_) {
    for (const auto number : std::exchange(unsent_, {})) {
      if (outstanding_.contains(number)) {
        Send(number);
      }
    }
  }
  const auto* self = fleet_->Find(fleet_->self_);
  if (self != nullptr && self->leaving_) {
    desk_.Leave();
  }
}

auto StageBroker::LinkTo(const std::string& aHost) -> std::shared_ptr<PeerLink>
{
  auto& link = links_[aHost];
  if (link && link->IsOpen()) {
    return link;
  }
  const auto* host = fleet_->Find(aHost);
  if (host == nullptr) {
    links_.erase(aHost);
    return nullptr;
  }
  link = std::make_shared<PeerLink>(
    Tcp::socket(context_),
    PeerLink::Options{
      .onFrame_ =
        [this](const auto&, PeerFrame aFrame) {
          if (auto* tell = std::get_if<StageTell>(&aFrame)) {
            OnTell(tell->order_, std::move(tell->results_));
          } else if (const auto* backlog = std::get_if<StageBacklog>(&aFrame)) {
            backlogs_[backlog->service_] = { .backlog_ = *backlog,
                                             .heardAt_ = clock_.Now() };
          }
        },
      .onEnd_ = [this](const auto& aLink) { OnLinkEnd(aLink); } });
  link->StartTo(StageAddressOf(*host));
  return link;
}

auto StageBroker::Plan(const std::string& aService, StagePlan aPlan)
  -> std::uint64_t
{
  const auto number = nextNumber_++;
  auto& outstanding = outstanding_[number];
  outstanding.order_.service_ = aService;
  if (!fleet_->settled_) {
    return number; // Forecasts do without it.
  }
  const auto link = LinkToCollector(aService);
  outstanding.link_ = link;
  if (link) {
    link->Send(StageNotice{ .service_ = aService,
                            .order_ = number,
                            .pieces_ = aPlan.pieces_,
                            .rank_ = aPlan.rank_,
                            .dueIn_ = aPlan.dueAt_ - clock_.Now() });
  } else {
    outstanding.deskOrder_ = desk_.Plan(aService, aPlan);
  }
  return number;
}

auto StageBroker::Place(StageOrder aOrder, Tell aTell, std::uint64_t aPlan)
  -> std::uint64_t
{
  if (aPlan != 0) {
    Cancel(aPlan);
  }
  const auto number = nextNumber_++;
  outstanding_[number] = { .order_ = std::move(aOrder),
                           .tell_ = std::move(aTell) };
  Send(number);
  return number;
}

auto StageBroker::Send(std::uint64_t aNumber) -> void
{
  if (!fleet_->settled_) {
    // Hosts that start together would all make their own calls.
    unsent_.push_back(aNumber);
    return;
  }
  auto& outstanding = outstanding_.at(aNumber);
  const auto link = LinkToCollector(outstanding.order_.service_);
  if (!link) {
    PlaceHere(aNumber);
    return;
  }
  const auto now = clock_.Now();
  outstanding.link_ = link;
  outstanding.order_.id_ = aNumber;
  link->Send(StageAsk{ .order_ = outstanding.order_,
                       .timeLeft_ = outstanding.order_.deadline_ - now,
                       .dueIn_ = outstanding.order_.dueAt_ - now });
}

auto StageBroker::PlaceHere(std::uint64_t aNumber) -> void
{
  auto& outstanding = outstanding_.at(aNumber);
  outstanding.link_ = nullptr;
  const auto& service = outstanding.order_.service_;
  if (CollectorOf(service) != fleet_->self_) {
    desk_.OnOtherCallers(service);
  }
  outstanding.deskOrder_ = desk_.Place(
    outstanding.order_, [this, aNumber](std::vector<PieceResult> aResults) {
      OnTell(aNumber, std::move(aResults));
    });
}

auto StageBroker::OnLinkEnd(const std::shared_ptr<PeerLink>& aLink) -> void
{
  std::vector<std::uint64_t> orphans;
  std::set<std::string> services;
  for (const auto& [number, outstanding] : outstanding_) {
    if (outstanding.link_ == aLink && outstanding.tell_) {
      orphans.push_back(number);
      services.insert(outstanding.order_.service_);
    }
  }
  std::string host;
  for (auto link = links_.begin(); link != links_.end();) {
    const auto ended = link->second == aLink;
    host = ended ? link->first : host;
    link = ended ? links_.erase(link) : std::next(link);
  }
  std::string named;
  for (const auto& service : services) {
    named += (named.empty() ? "" : " ") + service;
  }
  Log::Write(LogLevel::Info, "collector_lost",
             { { "collector", host },
               { "services", named },
               { "orders", std::to_string(orphans.size()) },
               { "reached", aLink->WasConnected() ? "true" : "false" },
               { "reason", aLink->WhyEnded() } });
  // A connection that broke is made again; where nobody takes it, the next
  // host in the order of collectors has the orders.
  if (!aLink->WasConnected() && !host.empty()) {
    PassOver(host);
  }
  SendAgain(orphans);
}

auto StageBroker::SendAgain(const std::vector<std::uint64_t>& aNumbers) -> void
{
  for (const auto number : aNumbers) {
    const auto found = outstanding_.find(number);
    // What has been told or has moved on is not asked for again.
    if (found == outstanding_.end() || found->second.order_.pieces_.empty()) {
      continue;
    }
    if (++found->second.moves_ < kMostMoves) {
      Send(number);
    } else {
      PlaceHere(number);
    }
  }
}

auto StageBroker::Cancel(std::uint64_t aOrder) -> void
{
  const auto found = outstanding_.find(aOrder);
  if (found == outstanding_.end()) {
    return;
  }
  const auto& outstanding = found->second;
  if (outstanding.link_) {
    outstanding.link_->Send(
      StageDrop{ .service_ = outstanding.order_.service_, .order_ = aOrder });
  } else {
    desk_.Cancel(outstanding.order_.service_, outstanding.deskOrder_);
  }
  const auto movedOn = outstanding.movedOn_;
  outstanding_.erase(found);
  for (const auto number : movedOn) {
    Cancel(number);
  }
}

auto StageBroker::Release(const std::string& aService,
                          std::vector<std::string> aHandles) -> void
{
  if (aHandles.empty()) {
    return;
  }
  const auto link = LinkToCollector(aService);
  if (link) {
    link->Send(
      StageRelease{ .service_ = aService, .handles_ = std::move(aHandles) });
  } else {
    desk_.Release(aService, aHandles);
  }
}

auto StageBroker::WaitAt(const std::string& aService, int aRank) const
  -> Duration
{
  const auto heard = backlogs_.find(aService);
  const auto fresh = heard != backlogs_.end() &&
                     clock_.Now() - heard->second.heardAt_ < kBacklogLife;
  return fresh ? heard->second.backlog_.WaitOf(aRank) : Duration{};
}

} // namespace goldcrestcroft
