#include "../Observability/Log.h"
#include "ControlPlane.h"

namespace goldcrestcroft {

auto ControlPlane::AgeOf(StoreTable aTable) const -> Duration
{
  const auto asOf = tables_.at(aTable).watch_.AsOf();
  return asOf ? clock_.Now() - *asOf : kNeverComplete;
}

auto ControlPlane::OnPeerViewAge(StoreTable aTable, const StoreVersion& aRow,
                                 Duration aAge) -> bool
{
  const auto now = clock_.Now();
  // Datagrams that were queued while this process was paused are older than the
  // ages in them say.
  const auto wasPaused = now - lastTick_ > options_.maxProcessPause_;
  const auto newest = NewestRow(aTable);
  if (aAge == kNeverComplete || aAge < Duration{} || aRow > newest ||
      aRow.era_ != newest.era_ || wasPaused) {
    return false;
  }
  return FollowedOf(aTable).watch_.OnPeerView(now - aAge, now);
}

auto ControlPlane::UpdateRole(StoreTable aTable) -> void
{
  auto& followed = FollowedOf(aTable);
  const auto isReader = IsReader(aTable);
  const auto role = aTable != StoreTable::Hosts
                      ? followed.watch_.RoleAt(clock_.Now())
                    : isReader ? TableWatch::Role::Reader
                               : TableWatch::Role::Listener;
  if (followed.role_ == role) {
    return;
  }
  followed.role_ = role;
  metrics_.SetReader(ToString(aTable), role != TableWatch::Role::Listener);
  Log::Write(LogLevel::Info, "reader_role",
             { { "table", ToString(aTable) },
               { "role", ToString(role) },
               { "ahead", std::to_string(ReadersAhead(aTable)) },
               { "hosts", std::to_string(published_.hosts_.size()) } });
}

auto ControlPlane::MaintainReadiness() -> void
{
  if (configuration_.Version() == 0) {
    return; // Not ready until the first configuration is adopted.
  }
  const auto now = clock_.Now();
  if (const auto asOf = tables_.at(StoreTable::Configuration).watch_.AsOf()) {
    confirmation_.OnStore(*asOf);
  }
  const auto isRecent = confirmation_.IsRecent(now);
  if (isRecent == current_) {
    return;
  }
  current_ = isRecent;
  Log::Write(isRecent ? LogLevel::Info : LogLevel::Warning,
             isRecent ? "configuration_confirmed" : "configuration_unconfirmed",
             { { "configuration", std::to_string(configuration_.Version()) },
               { "reported", std::to_string(confirmation_.Latest()) },
               { "unconfirmed_ms",
                 std::to_string(ToMilliseconds(confirmation_.Age(now))) },
               { "hosts", std::to_string(peers_.Size()) } });
  metrics_.Count(isRecent ? "configurations_confirmed"
                          : "configurations_unconfirmed");
  peers_.SetCallerAddress(isRecent ? options_.settings_.callers_ : "");
  PublishFleet();
}

auto ControlPlane::MaintainViews() -> void
{
  const auto now = clock_.Now();
  for (auto& [table, followed] : tables_) {
    const auto asOf = followed.watch_.AsOf();
    if (table == StoreTable::Hosts || !asOf) {
      continue;
    }
    metrics_.SetViewAge(ToString(table), now - *asOf);
    if (followed.sentAt_ && followed.watch_.IsOverdue(*followed.sentAt_, now)) {
      Log::Write(LogLevel::Warning, "store_call_given_up",
                 { { "table", ToString(table) },
                   { "after_ms",
                     std::to_string(ToMilliseconds(now - *followed.sentAt_)) },
                   { "age_ms", std::to_string(ToMilliseconds(now - *asOf)) } });
      store_.Abandon(table);
    }
    const auto stale = followed.watch_.IsStale(now);
    if (stale == followed.staleSince_.has_value()) {
      continue;
    }
    const auto since = followed.staleSince_.value_or(*asOf);
    followed.staleSince_ = stale ? asOf : std::nullopt;
    metrics_.Count(stale ? "views_stale" : "views_renewed");
    Log::Write(stale ? LogLevel::Warning : LogLevel::Info,
               stale ? "view_stale" : "view_renewed",
               { { "table", ToString(table) },
                 { "age_ms", std::to_string(ToMilliseconds(now - since)) },
                 { "row", ToString(NewestRow(table)) } });
  }
}

} // namespace goldcrestcroft
