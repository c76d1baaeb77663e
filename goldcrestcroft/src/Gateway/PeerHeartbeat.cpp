#include "PeerArchive.h"

#include <sstream>

namespace goldcrestcroft {

using namespace internal;

namespace {

template<typename Ar>
auto ArchiveLostRun(Ar& aArchive, LostRunReport& aRun) -> void
{
  aArchive(aRun.request_, aRun.run_);
  ArchiveTime(aArchive, aRun.beganAgo_);
  ArchiveTime(aArchive, aRun.endedAgo_);
}

template<typename Ar>
auto ArchiveHeartbeat(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  auto& probe = aHeartbeat.probe_;
  Archive(aArchive, probe.sender_);
  auto kind = static_cast<std::uint8_t>(probe.kind_);
  auto subject = Bounded(probe.subject_);
  aArchive(kind, probe.probe_, subject, probe.hosts_);
  if (kind > static_cast<std::uint8_t>(ProbeKind::PingRequest)) {
    throw std::out_of_range("kind of probe");
  }
  probe.kind_ = static_cast<ProbeKind>(kind);
  ArchiveUpdates(aArchive, probe.updates_);
  aArchive(aHeartbeat.configurationRow_.number_,
           aHeartbeat.engineRows_.number_);
  ArchiveTime(aArchive, aHeartbeat.configurationAge_);
  ArchiveTime(aArchive, aHeartbeat.engineAge_);
  ArchiveMany(aArchive, aHeartbeat.lostRuns_,
              [](auto& aEach, auto& aRun) { ArchiveLostRun(aEach, aRun); });
  ArchiveMany(aArchive, aHeartbeat.suspects_, [](auto& aEach, auto& aNotice) {
    auto level = static_cast<std::uint8_t>(aNotice.level_);
    aEach(aNotice.request_, aNotice.generation_, level, aNotice.count_);
    ArchiveTime(aEach, aNotice.left_);
    if (level > static_cast<std::uint8_t>(SuspectLevel::Quarantined)) {
      throw std::out_of_range("level of a suspect");
    }
    aNotice.level_ = static_cast<SuspectLevel>(level);
  });
  ArchiveMany(aArchive, aHeartbeat.leavingEngines_,
              [](auto& aEach, LeavingEngine& aEngine) {
                auto id = Bounded(aEngine.id_);
                aEach(id, aEngine.startedAt_);
              });
  ArchiveLimits(aArchive, aHeartbeat.limits_);
  ArchiveMany(aArchive, aHeartbeat.permitQueries_,
              [](auto& aEach, PermitQuery& aQuery) {
                aEach(aQuery.number_);
                ArchiveLimit(aEach, aQuery.limit_);
                ArchiveTime(aEach, aQuery.maxWait_);
              });
  ArchiveMany(aArchive, aHeartbeat.permits_,
              [](auto& aEach, PermitReply& aAnswer) {
                aEach(aAnswer.number_, aAnswer.permit_.granted_);
                ArchiveTime(aEach, aAnswer.permit_.wait_);
              });
  ArchiveMany(aArchive, aHeartbeat.unanswered_,
              [](auto& aEach, UnansweredReport& aReport) {
                ArchiveLostRun(aEach, aReport.run_);
                auto engine = Bounded(aReport.engine_);
                aEach(engine, aReport.startedAt_);
              });
}

/** Fields that follow those of the previous release, whose hosts ignore them
 * and do not send them. */
template<typename Ar>
auto ArchivePromptParts(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  for (auto& run : aHeartbeat.lostRuns_) {
    aArchive(run.lastPart_, run.responding_);
  }
  for (auto& notice : aHeartbeat.suspects_) {
    ArchiveTime(aArchive, notice.evidenceAge_);
  }
  for (auto& report : aHeartbeat.unanswered_) {
    aArchive(report.run_.lastPart_, report.run_.responding_);
  }
}

/** Fields that follow those. */
template<typename Ar>
auto ArchiveEras(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  aArchive(aHeartbeat.configurationRow_.era_, aHeartbeat.engineRows_.era_,
           aHeartbeat.configurationVersion_);
}

/** Fields that follow those. */
template<typename Ar>
auto ArchiveEvacuations(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  ArchiveVersion(aArchive, aHeartbeat.evacuationVersion_);
}

/** Fields that follow those. */
template<typename Ar>
auto ArchiveWarmUp(Ar& aArchive, FleetHeartbeat& aHeartbeat) -> void
{
  for (auto& query : aHeartbeat.permitQueries_) {
    auto limited = query.warmUpPerSecond_.has_value();
    auto perSecond = query.warmUpPerSecond_.value_or(0.0);
    aArchive(limited, perSecond);
    if (!std::isfinite(perSecond) || perSecond < 0.0) {
      throw std::out_of_range("warm-up rate");
    }
    query.warmUpPerSecond_ = limited ? std::optional(perSecond) : std::nullopt;
  }
}

} // namespace

auto EncodeHeartbeat(const FleetHeartbeat& aHeartbeat) -> std::string
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  auto heartbeat = aHeartbeat;
  ArchiveHeartbeat(archive, heartbeat);
  ArchivePromptParts(archive, heartbeat);
  ArchiveEras(archive, heartbeat);
  ArchiveEvacuations(archive, heartbeat);
  ArchiveWarmUp(archive, heartbeat);
  return std::move(out).str();
}

auto DecodeHeartbeat(std::string_view aBytes) -> Result<FleetHeartbeat>
{
  try {
    std::istringstream in{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(in);
    FleetHeartbeat heartbeat;
    ArchiveHeartbeat(archive, heartbeat);
    if (HasMore(in)) {
      ArchivePromptParts(archive, heartbeat);
    }
    if (HasMore(in)) {
      ArchiveEras(archive, heartbeat);
    }
    if (HasMore(in)) {
      ArchiveEvacuations(archive, heartbeat);
    }
    if (HasMore(in)) {
      ArchiveWarmUp(archive, heartbeat);
    }
    return heartbeat;
  } catch (const std::exception&) {
    return MalformedFrame();
  }
}

} // namespace goldcrestcroft
