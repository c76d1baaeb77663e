#include "../Observability/Log.h"
#include "RequestRun.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** Stages that move fewer bytes than this may run in any zone. */
constexpr auto kMinZonalBytes = 100'000.0;

} // namespace

auto RequestRun::WaitUntil(TimePoint aLatest) -> Task<void>
{
  wake_.expires_after(std::max<Duration>(aLatest - traffic_.Now(), {}));
  co_await wake_.async_wait(kAsTuple);
}

auto RequestRun::StagesDeadline() const -> TimePoint
{
  if (streamBegun_) {
    return deadline_;
  }
  const auto timeout = CallerTimeout{}.FirstEventTimeout(*route_);
  return std::min(deadline_, arrivedAt_ + timeout) -
         RemainingCriticalPath(*route_, *graph_, *routing_);
}

auto RequestRun::RefuseByForecast(
  const std::vector<std::uint32_t>& aPieces) const -> std::optional<LocalReply>
{
  const auto forecast =
    ForecastChain(*route_, aPieces, *routing_, [&](const auto& aService) {
      return traffic_.Broker().ForecastWait(aService, rank_);
    });
  // Admission uses the rank of the route. The rank of the workspace decides the
  // order only: used here, it would refuse one kind of request more often than
  // a less urgent one.
  const StageAdmission admission{
    .firstEvent_ = traffic_.FirstEventOf(route_->name_).Typical()
  };
  const auto rank =
    admission.AdmissionRank(route_->rank_, Fingerprint(requestId_));
  if (admission.Admits(forecast, route_->objective_, rank)) {
    return std::nullopt;
  }
  const auto allowed =
    admission.AllowedWait(forecast, route_->objective_, rank);
  return LocalReply{
    .reason_ = "overloaded",
    .message_ = fmt::format(
      "the stages would take {:.0f} ms, {:.0f} of them waiting "
      "where {:.0f} are allowed to rank {}, with {:.0f} ms "
      "from there to the first event",
      ToMilliseconds(forecast.total_), ToMilliseconds(forecast.waiting_),
      ToMilliseconds(allowed), rank, ToMilliseconds(admission.firstEvent_)),
    .retryAfter_ =
      std::max<Duration>(forecast.waiting_, traffic_.Options().retryAfter_)
  };
}

auto RequestRun::RunStages() -> Task<StagesOutcome>
{
  const auto self = shared_from_this();
  for (;;) {
    if (aborted_ != Aborted::No) {
      CancelOrders();
      co_return StagesOutcome::Aborted;
    }
    if (stageProblem_ || CheckQuarantined() || ParkedIsReadable()) {
      CancelOrders();
      graph_->OnCancelled();
      co_return StagesOutcome::Refused;
    }
    for (const auto stage : graph_->TakeReady()) {
      PlaceStage(stage);
    }
    ReleaseResults(graph_->TakeUnneeded());
    if (graph_->IsDone()) {
      co_return StagesOutcome::Completed;
    }
    const auto latest = StagesDeadline();
    if (traffic_.Now() >= latest) {
      stageProblem_ =
        LocalReply{ .reason_ = "stages_too_late",
                    .message_ =
                      "the stages that are left cannot be made before "
                      "the caller is gone",
                    .retryAfter_ = traffic_.Options().retryAfter_ };
      continue;
    }
    co_await WaitUntil(latest);
  }
}

auto RequestRun::CrossZoneBytes(std::size_t aStage) const -> double
{
  // Each piece of a stage fetches all pieces of the stages that it depends on.
  const auto& stages = route_->stages_;
  const auto size = [&](std::size_t aOf) {
    return stages[aOf].resultBytes_ *
           static_cast<double>(graph_->PiecesOf(aOf));
  };
  const auto needs = [&](std::size_t aFollower, std::size_t aOf) {
    const auto& after = stages[aFollower].after_;
    return std::find(after.begin(), after.end(), aOf) != after.end();
  };
  auto bytes = 0.0;
  auto followers = 0.0;
  for (std::size_t other = 0; other < stages.size(); ++other) {
    if (needs(aStage, other)) {
      bytes += size(other) * static_cast<double>(graph_->PiecesOf(aStage));
    }
    if (needs(other, aStage)) {
      followers += static_cast<double>(graph_->PiecesOf(other));
    }
  }
  // The last stages are fetched once, by the model engine.
  return bytes + size(aStage) * std::max(followers, 1.0);
}

auto RequestRun::StageShares() const -> std::map<std::string, double>
{
  std::map<std::string, double> shares;
  auto first = true;
  for (const auto& stage : route_->stages_) {
    const auto& engines = traffic_.Pool().Engines().EnginesOf(stage.service_);
    std::map<std::string, double> its;
    for (const auto& engine : engines) {
      its[engine.zone_] += 1.0 / static_cast<double>(engines.size());
    }
    // The stage with the smallest share limits what can run in the zone.
    for (const auto& [zone, share] : its) {
      shares[zone] = first ? share : std::min(shares[zone], share);
    }
    first = false;
  }
  return shares;
}

auto RequestRun::DueOf(std::size_t aStage) const -> TimePoint
{
  return stageDue_->Of(graph_->DepthFrom(aStage),
                       traffic_.FirstEventOf(route_->name_).Typical());
}

auto RequestRun::PlanStages() -> void
{
  for (std::size_t i = 0; i < route_->stages_.size(); ++i) {
    if (!graph_->IsPending(i)) {
      continue;
    }
    plans_[i] = traffic_.Broker().Plan(
      route_->stages_[i].service_,
      { .pieces_ = static_cast<std::uint32_t>(graph_->PiecesOf(i)),
        .rank_ = rank_,
        .dueAt_ = DueOf(i) });
  }
}

auto RequestRun::PlaceStage(std::size_t aStage) -> void
{
  const auto& stage = route_->stages_[aStage];
  const auto key = std::string(request_[traffic_.Codec().Headers().pieceKey_]);
  StageOrder order{ .requestId_ = requestId_,
                    .service_ = stage.service_,
                    .stage_ = static_cast<std::uint32_t>(aStage),
                    .pieces_ = graph_->MissingPieces(aStage),
                    .inputs_ = graph_->InputsOf(aStage),
                    .resultBytes_ = stage.resultBytes_,
                    .deadline_ = deadline_,
                    .dueAt_ = DueOf(aStage),
                    .rank_ = rank_ };
  if (CrossZoneBytes(aStage) >= kMinZonalBytes) {
    order.zone_ = zone_;
  }
  if (graph_->StartsFromKey(aStage)) {
    order.key_ = key;
  }
  const auto number = std::make_shared<std::uint64_t>(0);
  const auto plan = plans_.find(aStage);
  const auto planned = plan == plans_.end() ? 0 : plan->second;
  *number = traffic_.Broker().Place(
    std::move(order),
    [weak = weak_from_this(), number](std::vector<PieceResult> aResults) {
      if (const auto self = weak.lock()) {
        self->OnPieceResults(*number, aResults);
      }
    },
    planned);
  if (planned != 0) {
    plans_.erase(plan);
  }
  orders_[*number] = aStage;
}

auto RequestRun::OnPieceResults(std::uint64_t aOrder,
                                const std::vector<PieceResult>& aResults)
  -> void
{
  const auto found = orders_.find(aOrder);
  if (found == orders_.end()) {
    return;
  }
  const auto stage = found->second;
  auto again = false;
  for (const auto& result : aResults) {
    assigned_ =
      result.assignedEngine_.empty() ? assigned_ : result.assignedEngine_;
    switch (result.end_) {
      case PieceOutcome::Made:
        graph_->OnProduced(stage, result.piece_, result.handle_);
        break;
      case PieceOutcome::Begun:
        graph_->OnBegun(stage, result.piece_);
        break;
      case PieceOutcome::InputsLost:
        again = true;
        break;
      case PieceOutcome::Refused:
        stageProblem_ =
          LocalReply{ .reason_ = "stage_overloaded",
                      .message_ = fmt::format(
                        "stage {} kept it waiting until long after it was due",
                        stage),
                      .retryAfter_ = result.retryAfter_ };
        break;
      case PieceOutcome::Late:
      case PieceOutcome::NoResultMemory:
      case PieceOutcome::EngineFull:
      case PieceOutcome::Failed:
      case PieceOutcome::Moved:
        stageProblem_ =
          LocalReply{ .reason_ = "stage_failed",
                      .message_ = fmt::format("stage {} ended as {}", stage,
                                              ToString(result.end_)),
                      .retryAfter_ = traffic_.Options().retryAfter_ };
        break;
    }
  }
  if (again && attempts_.reproduced_ < AttemptLimits{}.maxReproduced_) {
    ++attempts_.reproduced_;
    traffic_.Broker().Cancel(aOrder);
    orders_.erase(found);
    graph_->OnInputsLost(stage);
  } else if (again) {
    stageProblem_ =
      LocalReply{ .reason_ = "stage_inputs_gone",
                  .message_ = fmt::format(
                    "results that stage {} needs were lost again", stage),
                  .retryAfter_ = traffic_.Options().retryAfter_ };
  } else if (graph_->MissingPieces(stage).empty()) {
    traffic_.Broker().Cancel(aOrder);
    orders_.erase(found);
  }
  wake_.cancel();
}

auto RequestRun::CancelOrders() -> void
{
  EndAssignment();
  for (const auto& [number, order] : orders_) {
    traffic_.Broker().Cancel(number);
  }
  orders_.clear();
  for (const auto& [stage, number] : plans_) {
    traffic_.Broker().Cancel(number);
  }
  plans_.clear();
}

auto RequestRun::ReleaseResults(
  const std::vector<std::pair<std::size_t, std::string>>& aResults) -> void
{
  std::map<std::string, std::vector<std::string>> byService;
  for (const auto& [stage, handle] : aResults) {
    byService[route_->stages_[stage].service_].push_back(handle);
  }
  for (auto& [service, handles] : byService) {
    traffic_.Broker().Release(service, std::move(handles));
  }
}

} // namespace goldcrestcroft
