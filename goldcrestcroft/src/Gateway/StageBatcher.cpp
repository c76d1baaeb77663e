#include "StageBatcher.h"

#include "BackgroundTask.h"

namespace goldcrestcroft {

namespace {

/** Minimum interval between two logs of the backlog. */
constexpr auto kBacklogLogInterval = std::chrono::milliseconds{ 1000 };

} // namespace

StageBatcher::StageBatcher(asio::io_context& aContext, Options aOptions,
                           EnginePool& aPool, const PlatformCodec& aCodec)
  : context_(aContext)
  , options_(aOptions)
  , pool_(aPool)
  , codec_(aCodec)
{
}

auto StageBatcher::Find(const std::string& aService) -> Service*
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    return &found->second;
  }
  const auto* profile = routing_ ? routing_->FindService(aService) : nullptr;
  if (profile == nullptr || !profile->stage_) {
    return nullptr;
  }
  const auto [added, isNew] = services_.emplace(
    aService, Service{ .name_ = aService,
                       .profile_ = *profile->stage_,
                       .queue_ = StageQueue(options_.queue_) });
  OnEngines();
  return &added->second;
}

auto StageBatcher::SetRouting(std::shared_ptr<const RoutingTable> aRouting)
  -> void
{
  routing_ = std::move(aRouting);
  for (auto& [name, service] : services_) {
    const auto* profile = routing_->FindService(name);
    if (profile != nullptr && profile->stage_) {
      service.profile_ = *profile->stage_;
    }
  }
}

auto StageBatcher::OnEngines() -> void
{
  for (auto& [name, service] : services_) {
    std::map<std::string, std::shared_ptr<Engine>> engines;
    for (const auto& entry : pool_.Engines().EnginesOf(name)) {
      const auto known = service.engines_.find(entry.id_);
      const auto state = pool_.StateOf(entry);
      if (known != service.engines_.end() && known->second->state_ == state) {
        engines.insert(*known);
        continue;
      }
      const auto bytes =
        service.profile_.headroomBytes_ * options_.memoryShare_;
      engines[entry.id_] = std::make_shared<Engine>(
        Engine{ .state_ = state,
                .resultMemory_ = ResultMemory(
                  { .bytes_ = bytes, .keepFor_ = service.profile_.keepFor_ }),
                .exclusiveUse_ = ExclusiveUse(clock_.Now()) });
    }
    service.engines_ = std::move(engines);
    Dispatch(service);
  }
}

auto StageBatcher::Place(StageOrder aOrder, ResultCallback aOnResults)
  -> std::uint64_t
{
  const auto id = nextOrder_++;
  aOrder.id_ = id;
  if (aOrder.pieces_.empty()) {
    // Only asks for an engine; nothing has to be made.
    PieceResult result{ .end_ = PieceOutcome::Begun };
    if (aOrder.prompt_) {
      result.assignedEngine_ =
        AssignEngine(aOrder.service_, id, *aOrder.prompt_);
    }
    asio::post(context_, [onResults = std::move(aOnResults), result] {
      onResults({ result });
    });
    return id;
  }
  auto* service = Find(aOrder.service_);
  if (service == nullptr) {
    std::vector<PieceResult> results;
    for (const auto piece : aOrder.pieces_) {
      results.push_back({ .piece_ = piece, .end_ = PieceOutcome::Failed });
    }
    asio::post(context_, [onResults = std::move(aOnResults), results] {
      onResults(results);
    });
    return id;
  }
  placedOrders_[id] = { .onResults_ = std::move(aOnResults) };
  if (aOrder.inputs_.empty()) {
    service->dueIn_[aOrder.rank_] = aOrder.dueAt_ - clock_.Now();
  }
  service->queue_.Add(std::move(aOrder), clock_.Now());
  Dispatch(*service);
  return id;
}

auto StageBatcher::Plan(const std::string& aService, StagePlan aPlan)
  -> std::uint64_t
{
  const auto id = nextOrder_++;
  if (auto* service = Find(aService)) {
    service->dueIn_[aPlan.rank_] = aPlan.dueAt_ - clock_.Now();
    service->queue_.Plan(id, aPlan);
  }
  return id;
}

auto StageBatcher::Cancel(const std::string& aService, std::uint64_t aOrder)
  -> void
{
  placedOrders_.erase(aOrder);
  if (const auto shard = assignments_.find(aService);
      shard != assignments_.end()) {
    shard->second.assigner_.OnRead(aOrder, clock_.Now());
    return;
  }
  if (auto* service = Find(aService)) {
    service->queue_.Cancel(aOrder);
  }
}

auto StageBatcher::Report(std::uint64_t aOrder,
                          std::vector<PieceResult> aResults) -> void
{
  const auto placed = placedOrders_.find(aOrder);
  if (placed != placedOrders_.end()) {
    // Copied, since the callback may place or cancel orders.
    const auto onResults = placed->second.onResults_;
    onResults(std::move(aResults));
  }
}

auto StageBatcher::MoveAllWaiting() -> void
{
  for (auto& [name, service] : services_) {
    MoveWaiting(service);
  }
}

auto StageBatcher::MoveWaiting(const std::string& aService) -> void
{
  const auto service = services_.find(aService);
  if (service != services_.end()) {
    MoveWaiting(service->second);
  }
}

auto StageBatcher::MoveWaiting(Service& aService) -> void
{
  for (const auto id : aService.queue_.Orders()) {
    std::vector<PieceResult> results;
    for (const auto piece : aService.queue_.TakeWaiting(id)) {
      results.push_back({ .piece_ = piece, .end_ = PieceOutcome::Moved });
    }
    if (!results.empty()) {
      Report(id, std::move(results));
    }
  }
}

auto StageBatcher::OnPossibleContention(const std::string& aService) -> void
{
  const auto service = services_.find(aService);
  if (service == services_.end()) {
    return;
  }
  for (auto& [id, engine] : service->second.engines_) {
    engine->exclusiveUse_.OnContention(clock_.Now());
  }
}

auto StageBatcher::CanTakeCall(const Engine& aEngine) const -> bool
{
  const auto now = clock_.Now();
  const auto& state = *aEngine.state_;
  return !aEngine.busy_ && now >= aEngine.pausedUntil_ &&
         state.health_.IsUsable(now) && state.availability_.IsEligible({}, now);
}

auto StageBatcher::Dispatch(Service& aService) -> void
{
  const auto now = clock_.Now();
  for (const auto id : aService.queue_.TakeExpired(now)) {
    Report(id, { { .end_ = PieceOutcome::Refused,
                   .retryAfter_ = options_.retryAfter_ } });
    placedOrders_.erase(id);
  }
  if (pool_.Engines().IsEvacuated(aService.name_)) {
    for (const auto id : aService.queue_.Orders()) {
      if (!aService.queue_.TakeWaiting(id).empty()) {
        Report(id, { { .end_ = PieceOutcome::Refused,
                       .retryAfter_ = options_.retryAfter_ } });
      }
    }
  }
  if (aService.queue_.Waiting() == 0) {
    return;
  }
  std::vector<std::string> zones;
  for (const auto& [id, engine] : aService.engines_) {
    if (engine->state_->health_.IsUsable(now)) {
      zones.push_back(engine->state_->entry_.zone_);
    }
  }
  for (const auto& [id, engine] : aService.engines_) {
    if (!CanTakeCall(*engine)) {
      continue;
    }
    engine->resultMemory_.Expire(now);
    const auto tickets =
      aService.queue_.TakeCall({ .zone_ = engine->state_->entry_.zone_,
                                 .batch_ = aService.profile_.batch_,
                                 .freeBytes_ = engine->resultMemory_.Free(),
                                 .totalBytes_ = engine->resultMemory_.Total(),
                                 .callTime_ = aService.profile_.callTime_ },
                               zones, now);
    if (tickets.empty()) {
      continue;
    }
    engine->busy_ = true;
    auto call = MakeCall(aService, tickets);
    for (const auto bytes : call.bytes_) {
      engine->resultMemory_.Reserve(bytes);
    }
    asio::co_spawn(context_, RunCall(aService.name_, engine, std::move(call)),
                   LogFailure{ "run_call" });
  }
  if (aService.queue_.Waiting() > 0 && !dispatchScheduled_) {
    dispatchScheduled_ = true;
    asio::co_spawn(
      context_,
      KeepRunning("look_at_waiting_pieces", [this] { return DispatchLater(); }),
      LogFailure{ "look_at_waiting_pieces" });
  }
}

auto StageBatcher::DispatchLater() -> Task<void>
{
  asio::steady_timer timer(context_, options_.dispatchInterval_);
  co_await timer.async_wait(kAsTuple);
  dispatchScheduled_ = false;
  const auto now = clock_.Now();
  const auto logs = now - loggedAt_ >= kBacklogLogInterval;
  loggedAt_ = logs ? now : loggedAt_;
  for (auto& [name, service] : services_) {
    if (logs && service.queue_.Waiting() > 0) {
      LogBacklog(service);
    }
    Dispatch(service);
  }
}

} // namespace goldcrestcroft
