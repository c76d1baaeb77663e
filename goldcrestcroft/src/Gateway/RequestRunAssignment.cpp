#include "RequestRun.h"

#include <algorithm>

namespace goldcrestcroft {

namespace {

/** A busy host in another zone replies within this; later, the request is
 * better served by this host's own choice. */
constexpr auto kAssignmentTimeout = std::chrono::milliseconds{ 40 };

} // namespace

auto RequestRun::PromptWorkOf() const -> PromptWork
{
  constexpr auto kMaxTokens = 1e9;
  const auto toTokens = [&](double aNumber) {
    return static_cast<std::uint32_t>(std::min(aNumber, kMaxTokens));
  };
  const auto& codec = traffic_.Codec();
  const auto counts =
    codec.ReadPieceCounts(JoinedField(codec.Headers().tokenCounts_));
  PromptWork work{ .service_ = service_,
                   .ownTokens_ = toTokens(prompt_.back().tokens_),
                   .outputTokens_ = counts.size() > 1 ? counts[1] : 0,
                   .home_ = home_,
                   .zone_ = zone_ };
  for (std::size_t i = 0; i + 1 < prompt_.size(); ++i) {
    work.sharedParts_.push_back({ .fingerprint_ = Fingerprint(prompt_[i].id_),
                                  .tokens_ = toTokens(prompt_[i].tokens_) });
  }
  return work;
}

auto RequestRun::AwaitAssignment() -> Task<void>
{
  const auto self = shared_from_this();
  // Where engines do not share their machines, homes by hash avoid reading
  // shared parts again, and the streams beside a prompt bear it.
  if (!tried_.empty() || prompt_.empty() || !graph_ ||
      !traffic_.Pool().StatesSlowdown(service_)) {
    co_return;
  }
  const auto engines = traffic_.Pool().Engines().EnginesOf(service_).size();
  const AssignmentShards shards(service_, engines);
  StageOrder order{ .requestId_ = requestId_,
                    .service_ = shards.OfPart(SharedPartId(prompt_)),
                    .deadline_ = deadline_,
                    .dueAt_ = traffic_.Now(),
                    .rank_ = rank_,
                    .prompt_ = PromptWorkOf() };
  assignment_ = traffic_.Broker().Place(
    std::move(order),
    [weak = weak_from_this()](const std::vector<PieceResult>& aResults) {
      const auto run = weak.lock();
      if (run && !aResults.empty()) {
        run->assigned_ = aResults.front().assignedEngine_;
        run->wake_.cancel();
      }
    });
  co_await WaitUntil(traffic_.Now() + kAssignmentTimeout);
}

auto RequestRun::EndAssignment() -> void
{
  if (assignment_ != 0) {
    traffic_.Broker().Cancel(std::exchange(assignment_, 0));
  }
}

} // namespace goldcrestcroft
