#include "../Observability/Log.h"
#include "BackgroundTask.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

namespace {

/** Calls a second of all hosts together by which they register again: a tenth
 * of the 400 writes a second that the platform allows them. */
constexpr auto kRegistrationsPerSecond = 40.0;

} // namespace

auto ControlPlane::CheckEra(StoreTable aTable, bool aReadsAll,
                            StoreReply& aReply) -> void
{
  auto& followed = FollowedOf(aTable);
  const auto era = aReply.version_.era_;
  if (aReply.end_ != StoreOutcome::Unanswered) {
    if (storeEra_ && era < *storeEra_) {
      // Delayed on a connection, or from an endpoint that is not restored yet.
      store_.Abandon(aTable);
      aReply = { .end_ = StoreOutcome::Refused,
                 .version_ = aReply.version_,
                 .detail_ = "a reply of era " + std::to_string(era) +
                            ", the store is in era " +
                            std::to_string(*storeEra_) };
    } else {
      OnEra(era, "store");
    }
  }
  const auto isOtherEra =
    aReply.end_ == StoreOutcome::Done && era != followed.version_.era_;
  if (!aReadsAll && (isOtherEra || !followed.known_)) {
    aReply = { .end_ = StoreOutcome::HistoryDropped,
               .version_ = aReply.version_ };
  }
}

auto ControlPlane::OnEra(std::uint64_t aEra, const std::string& aSource) -> void
{
  if (storeEra_ && aEra <= *storeEra_) {
    return;
  }
  const auto before = std::exchange(storeEra_, aEra);
  metrics_.SetStoreEra(aEra);
  if (!before) {
    return;
  }
  metrics_.Count("store_restored");
  Log::Write(LogLevel::Warning, "store_restored",
             { { "era", std::to_string(aEra) },
               { "before", std::to_string(*before) },
               { "source", aSource } });
  // Live engines whose entries the copy lacks register again.
  engines_.OnStoreFailure(clock_.Now());
  heldRows_.OnStoreRestored(aEra);
  listener_.onStoreRestored_(aEra);
  for (auto& [table, followed] : tables_) {
    // The other hosts receive the tables from those that read them.
    if (followed.role_ != TableWatch::Role::Listener) {
      followed.known_ = false;
      store_.Abandon(table);
    }
  }
  asio::co_spawn(context_, RegisterAgain(), LogFailure{ "announce" });
  asio::co_spawn(context_, RestoreHeldRequests(),
                 LogFailure{ "restore_held_requests" });
}

auto ControlPlane::RegisterAgain() -> Task<void>
{
  RandomEngine random(Fingerprint(options_.settings_.host_, *storeEra_));
  const auto spread = std::chrono::duration<double>(
    UniformUnit(random) * static_cast<double>(peers_.Size()) /
    kRegistrationsPerSecond);
  co_await Pause(std::chrono::duration_cast<Duration>(spread));
  co_await RegisterHost();
}

} // namespace goldcrestcroft
