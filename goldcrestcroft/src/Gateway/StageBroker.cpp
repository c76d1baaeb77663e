#include "StageBroker.h"

#include "../Observability/Log.h"
#include "BackgroundTask.h"

namespace goldcrestcroft {

namespace {

/** How long a backlog report stays valid. */
constexpr auto kBacklogValidity = std::chrono::milliseconds{ 500 };
/** An order that was sent this often without a result is placed locally. */
constexpr std::size_t kMaxSends = 4;

/** The port for stage orders follows the port for state. */
auto StageAddressOf(const FleetHost& aHost) -> std::string
{
  const auto endpoint = ParseTcpEndpoint(aHost.peerAddress_);
  return endpoint.address().to_string() + ":" +
         std::to_string(endpoint.port() + 1);
}

} // namespace

StageBroker::StageBroker(asio::io_context& aContext, std::string aListen,
                         StageBatcher& aBatcher)
  : context_(aContext)
  , listen_(std::move(aListen))
  , batcher_(aBatcher)
{
}

auto StageBroker::Start(const BindRetry& aRetry) -> Result<void>
{
  BOOST_LEAF_AUTO(acceptor, Listen(context_, listen_, aRetry));
  acceptor_.emplace(std::move(acceptor));
  asio::co_spawn(context_,
                 KeepRunning("accept_brokers", [this] { return Accept(); }),
                 LogFailure{ "accept_brokers" });
  asio::co_spawn(
    context_,
    KeepRunning("spread_backlogs", [this] { return PublishBacklogs(); }),
    LogFailure{ "spread_backlogs" });
  return {};
}

auto StageBroker::LinkToCoordinator(const std::string& aService)
  -> std::shared_ptr<PeerLink>
{
  const auto coordinator = CoordinatorOf(aService);
  return coordinator == fleet_->self_ ? nullptr : LinkTo(coordinator);
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
  OnCoordinatorsChanged(std::exchange(coordinators_, {}));
  if (fleet_->settled_) {
    for (const auto number : std::exchange(unsent_, {})) {
      if (outstanding_.contains(number)) {
        Send(number);
      }
    }
  }
  const auto* self = fleet_->Find(fleet_->self_);
  if (self != nullptr && self->leaving_) {
    batcher_.MoveAllWaiting();
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
          if (auto* results = std::get_if<StageOrderResults>(&aFrame)) {
            OnResults(results->order_, std::move(results->results_));
          } else if (const auto* backlog = std::get_if<StageBacklog>(&aFrame)) {
            backlogs_[backlog->service_] = { .backlog_ = *backlog,
                                             .receivedAt_ = clock_.Now() };
          }
        },
      .onEnd_ = [this](const auto& aLink) { OnLinkEnd(aLink); } });
  link->ConnectTo(StageAddressOf(*host));
  return link;
}

auto StageBroker::Plan(const std::string& aService, StagePlan aPlan)
  -> std::uint64_t
{
  const auto number = nextNumber_++;
  auto& outstanding = outstanding_[number];
  outstanding.order_.service_ = aService;
  if (!fleet_->settled_) {
    return number; // Forecasts work without the plan.
  }
  const auto link = LinkToCoordinator(aService);
  outstanding.link_ = link;
  if (link) {
    link->Send(StagePlanNotice{ .service_ = aService,
                                .order_ = number,
                                .pieces_ = aPlan.pieces_,
                                .rank_ = aPlan.rank_,
                                .dueIn_ = aPlan.dueAt_ - clock_.Now() });
  } else {
    outstanding.batcherOrder_ = batcher_.Plan(aService, aPlan);
  }
  return number;
}

auto StageBroker::Place(StageOrder aOrder, ResultCallback aOnResults,
                        std::uint64_t aPlan) -> std::uint64_t
{
  if (aPlan != 0) {
    Cancel(aPlan);
  }
  const auto number = nextNumber_++;
  outstanding_[number] = { .order_ = std::move(aOrder),
                           .onResults_ = std::move(aOnResults) };
  Send(number);
  return number;
}

auto StageBroker::Send(std::uint64_t aNumber) -> void
{
  if (!fleet_->settled_) {
    // Otherwise hosts that start at the same time would all run their own
    // calls.
    unsent_.push_back(aNumber);
    return;
  }
  auto& outstanding = outstanding_.at(aNumber);
  const auto link = LinkToCoordinator(outstanding.order_.service_);
  if (!link) {
    PlaceLocally(aNumber);
    return;
  }
  const auto now = clock_.Now();
  outstanding.link_ = link;
  outstanding.order_.id_ = aNumber;
  link->Send(StageOrderRequest{ .order_ = outstanding.order_,
                                .timeLeft_ = outstanding.order_.deadline_ - now,
                                .dueIn_ = outstanding.order_.dueAt_ - now });
}

auto StageBroker::PlaceLocally(std::uint64_t aNumber) -> void
{
  auto& outstanding = outstanding_.at(aNumber);
  outstanding.link_ = nullptr;
  const auto& service = outstanding.order_.service_;
  if (CoordinatorOf(service) != fleet_->self_) {
    batcher_.OnPossibleContention(service);
  }
  outstanding.batcherOrder_ = batcher_.Place(
    outstanding.order_, [this, aNumber](std::vector<PieceResult> aResults) {
      OnResults(aNumber, std::move(aResults));
    });
}

auto StageBroker::OnLinkEnd(const std::shared_ptr<PeerLink>& aLink) -> void
{
  std::vector<std::uint64_t> orphans;
  std::set<std::string> services;
  for (const auto& [number, outstanding] : outstanding_) {
    if (outstanding.link_ == aLink && outstanding.onResults_) {
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
  std::string serviceNames;
  for (const auto& service : services) {
    serviceNames += (serviceNames.empty() ? "" : " ") + service;
  }
  Log::Write(LogLevel::Info, "collector_lost",
             { { "collector", host },
               { "services", serviceNames },
               { "orders", std::to_string(orphans.size()) },
               { "reached", aLink->WasConnected() ? "true" : "false" },
               { "reason", aLink->CloseReason() } });
  // A connection that broke is opened again; if the host does not accept it,
  // the orders go to the next host in the order of coordinators.
  if (!aLink->WasConnected() && !host.empty()) {
    SkipUnreachable(host);
  }
  Resend(orphans);
}

auto StageBroker::Resend(const std::vector<std::uint64_t>& aNumbers) -> void
{
  for (const auto number : aNumbers) {
    const auto found = outstanding_.find(number);
    // Pieces that were reported or have moved are not requested again.
    if (found == outstanding_.end() || found->second.order_.pieces_.empty()) {
      continue;
    }
    if (++found->second.resends_ < kMaxSends) {
      Send(number);
    } else {
      PlaceLocally(number);
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
    outstanding.link_->Send(StageOrderCancel{
      .service_ = outstanding.order_.service_, .order_ = aOrder });
  } else {
    batcher_.Cancel(outstanding.order_.service_, outstanding.batcherOrder_);
  }
  const auto movedOrders = outstanding.movedOrders_;
  outstanding_.erase(found);
  for (const auto number : movedOrders) {
    Cancel(number);
  }
}

auto StageBroker::Release(const std::string& aService,
                          std::vector<std::string> aHandles) -> void
{
  if (aHandles.empty()) {
    return;
  }
  const auto link = LinkToCoordinator(aService);
  if (link) {
    link->Send(
      StageRelease{ .service_ = aService, .handles_ = std::move(aHandles) });
  } else {
    batcher_.Release(aService, aHandles);
  }
}

auto StageBroker::ForecastWait(const std::string& aService, int aRank) const
  -> Duration
{
  const auto received = backlogs_.find(aService);
  const auto isFresh =
    received != backlogs_.end() &&
    clock_.Now() - received->second.receivedAt_ < kBacklogValidity;
  return isFresh ? received->second.backlog_.WaitOf(aRank) : Duration{};
}

} // namespace goldcrestcroft
