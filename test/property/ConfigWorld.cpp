#include "ConfigWorld.h"

namespace testing {

namespace {

constexpr std::size_t kHosts = 4;
constexpr std::size_t kMaxOperators = 24;

auto Key(VersionNumber aNumber) -> RowKey
{
  return { .table_ = "config", .key_ = std::to_string(aNumber) };
}

auto HeadKey() -> RowKey
{
  return { .table_ = "config", .key_ = "head" };
}

auto Decode(const Row& aRow) -> ConfigPatch
{
  return Handle([&] { return DecodePatch(aRow.value_); },
                [](const Error&) { return ConfigPatch{}; });
}

} // namespace

ConfigWorld::ConfigWorld(ConfigRemoved aRemoved)
  : removed_(aRemoved)
{
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts_.push_back(MakeHost());
  }
}

auto ConfigWorld::MakeHost() -> Host
{
  return { .follower_ = ConfigFollower({}, clock_.Now()) };
}

auto ConfigWorld::RowOf(VersionNumber aNumber) const -> Row
{
  const auto reply = table_.Read({ Key(aNumber) });
  return reply.rows_.empty() ? Row{} : reply.rows_.front();
}

auto ConfigWorld::Newest() const -> VersionNumber
{
  const auto reply = table_.Read({ HeadKey() });
  return reply.rows_.empty() ? 0 : std::stoull(reply.rows_.front().value_);
}

auto ConfigWorld::Submit(std::size_t aHost) -> void
{
  if (operators_.size() >= kMaxOperators) {
    return;
  }
  const auto name = "w" + std::to_string(operators_.size());
  const auto base = hosts_[aHost].follower_.InForce()->Number();
  operators_.push_back(
    { .submission_ = PatchSubmission(
        { .number_ = base + 1,
          .author_ = name,
          .operations_ = base == 0 ? R"([{"op":"replace","path":"","value":)"
                                     R"({"workspaces":{"first":{}}}}])"
                                   : R"([{"op":"add","path":"/workspaces/)" +
                                       name + R"(","value":{}}])" },
        {}),
      .host_ = aHost });
}

auto ConfigWorld::DriveInsert(Operator& aOperator, unsigned aFault) -> void
{
  auto& submission = aOperator.submission_;
  const auto& patch = submission.Patch();
  std::vector<RowWrite> writes{ { .key_ = Key(patch.number_),
                                  .value_ = EncodePatch(patch),
                                  .expected_ = 0 },
                                { .key_ = HeadKey(),
                                  .value_ = std::to_string(patch.number_) } };
  if (removed_ == ConfigRemoved::InsertCondition) {
    writes[0].expected_.reset();
  }
  if (outage_ || aFault == 1) {
    submission.OnLost(); // refused, or the request was lost
    return;
  }
  if (aFault == 2) {
    // The write takes effect after the timeout.
    delayedWrites_.push_back(std::move(writes));
    submission.OnLost();
    return;
  }
  const auto reply = table_.Transact(writes);
  if (aFault == 3) {
    if (removed_ == ConfigRemoved::ReadBack) {
      submission.OnRow({ .author_ = "nobody" });
    } else {
      submission.OnLost(); // took effect, but the reply was lost
    }
  } else if (reply.status_ == TableStatus::Done) {
    submission.OnInserted();
  } else {
    submission.OnRow(Decode(reply.conflicts_.front()));
  }
}

auto ConfigWorld::Drive(Operator& aOperator, unsigned aFault) -> void
{
  auto& submission = aOperator.submission_;
  if (submission.Next() == PatchSubmission::Step::Insert) {
    DriveInsert(aOperator, aFault);
  } else if (submission.Next() == PatchSubmission::Step::ReadBack) {
    const auto row = RowOf(submission.Patch().number_);
    if (outage_ || aFault == 1) {
      submission.OnLost();
    } else if (row.version_ == 0) {
      submission.OnAbsent();
    } else {
      submission.OnRow(Decode(row));
    }
  }
  CheckReportedOutcome(aOperator);
}

auto ConfigWorld::CheckReportedOutcome(Operator& aOperator) -> void
{
  const auto& submission = aOperator.submission_;
  const auto row = RowOf(submission.Patch().number_);
  const auto holds = row.version_ != 0 && Decode(row) == submission.Patch();
  if (submission.Next() == PatchSubmission::Step::Accepted) {
    if (!holds) {
      violation_ = "reported accepted, but another patch has the number";
    } else if (!aOperator.notified_) {
      ApplyPatch(hosts_[aOperator.host_], submission.Patch());
    }
    aOperator.notified_ = true;
  }
  if (submission.Next() == PatchSubmission::Step::Refused) {
    refused_ += aOperator.notified_ ? 0 : 1;
    aOperator.notified_ = true;
    if (holds) {
      violation_ = "reported refused, but the patch took effect";
    }
  }
}

auto ConfigWorld::ApplyPatch(Host& aHost, const ConfigPatch& aPatch) -> void
{
  if (aHost.follower_.OnPatch(aPatch, clock_.Now())) {
    pastVersions_.push_back(aHost.follower_.InForce());
  }
}

auto ConfigWorld::ReadHead(Host& aHost) -> void
{
  if (!outage_) {
    aHost.follower_.OnVersionAdvertised(Newest(), clock_.Now());
  }
}

auto ConfigWorld::FetchFromTable(Host& aHost) -> void
{
  const auto row = RowOf(aHost.follower_.InForce()->Number() + 1);
  if (!outage_ && row.version_ != 0) {
    ApplyPatch(aHost, Decode(row));
  }
}

auto ConfigWorld::Gossip(std::size_t aFrom, std::size_t aTo) -> void
{
  const auto& from = hosts_[aFrom].follower_;
  auto& to = hosts_[aTo].follower_;
  if (hosts_[aFrom].paused_ || hosts_[aTo].paused_) {
    return;
  }
  to.OnVersionAdvertised(from.InForce()->Number(), clock_.Now());
  to.OnSnapshot(from.InForce(), clock_.Now());
}

auto ConfigWorld::TickHost(std::size_t aHost, unsigned aChoice) -> void
{
  auto& host = hosts_[aHost];
  if (host.paused_) {
    return;
  }
  const auto actions = host.follower_.Tick(clock_.Now());
  if (actions.readHead_) {
    ReadHead(host);
  }
  if (actions.fetchPatches_) {
    FetchFromTable(host);
  }
  if (aChoice % 3 == 0 && !pastVersions_.empty()) {
    // A delayed message carries an old version.
    const auto& old = pastVersions_[aChoice % pastVersions_.size()];
    if (removed_ == ConfigRemoved::MonotonicVersions) {
      host.follower_ = ConfigFollower({}, clock_.Now());
    }
    host.follower_.OnSnapshot(old, clock_.Now());
  }
}

auto ConfigWorld::CheckHosts() -> void
{
  for (auto& host : hosts_) {
    const auto number = host.follower_.InForce()->Number();
    if (number < host.highest_) {
      violation_ = "a host went back to an older version";
    }
    if (number > Newest()) {
      violation_ = "a host has a version that was never accepted";
    }
    host.highest_ = number;
  }
  // On all hosts, equal numbers must identify equal documents.
  for (const auto& left : hosts_) {
    for (const auto& right : hosts_) {
      const auto& one = left.follower_.InForce();
      const auto& other = right.follower_.InForce();
      if (one->Number() == other->Number() &&
          one->Document() != other->Document()) {
        violation_ = "two hosts disagree on one version";
      }
    }
  }
}

auto ConfigWorld::Step(unsigned aChoice) -> void
{
  const auto kind = aChoice % 16;
  const auto pick = aChoice / 16;
  const auto host = pick % kHosts;
  if (kind <= 1) {
    Submit(host);
  } else if (kind <= 5 && !operators_.empty()) {
    Drive(operators_[pick % operators_.size()], (pick / 32) % 6);
  } else if (kind <= 8) {
    TickHost(host, pick / 4);
  } else if (kind <= 10) {
    Gossip(host, (pick / 4) % kHosts);
  } else if (kind == 11) {
    clock_.Advance(std::chrono::milliseconds(100 * (pick % 8)));
  } else if (kind == 12) {
    hosts_[host].paused_ = !hosts_[host].paused_;
    clock_.Advance(std::chrono::seconds(pick % 3));
  } else if (kind == 13) {
    outage_ = pick % 3 == 0;
  } else if (kind == 14 && !delayedWrites_.empty()) {
    table_.Transact(delayedWrites_.back());
    delayedWrites_.pop_back();
  } else if (kind == 15 && pick % 4 == 0) {
    hosts_[host] = MakeHost(); // replaced, without its state
  }
  for (auto& each : operators_) {
    if (each.notified_) {
      CheckReportedOutcome(each);
    }
  }
  CheckHosts();
}

auto ConfigWorld::Heal() -> void
{
  outage_ = false;
  for (auto& host : hosts_) {
    host.paused_ = false;
  }
  for (auto i = 0; i < 100; ++i) {
    clock_.Advance(std::chrono::milliseconds(250));
    for (std::size_t host = 0; host < kHosts; ++host) {
      TickHost(host, 1);
      Gossip(host, (host + 1) % kHosts);
    }
  }
  CheckHosts();
  for (const auto& host : hosts_) {
    if (host.follower_.InForce()->Number() != Newest() ||
        !host.follower_.Confirmed()) {
      violation_ = "a host did not reach the newest version";
    }
  }
}

} // namespace testing
