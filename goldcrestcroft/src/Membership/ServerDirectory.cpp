#include "ServerDirectory.h"

namespace goldcrestcroft {

auto ServerDirectory::OnLeaving(const ServerId& aServer, Source aSource,
                                TimePoint aNow) -> void
{
  leaving_[aServer][aSource] = aNow;
}

auto ServerDirectory::OnList(const std::vector<ListedMember>& aMembers,
                             TimePoint aNow) -> void
{
  for (const auto& member : aMembers) {
    const ServerId server{ member.id_ };
    if (member.leaving_) {
      OnLeaving(server, Source::List, aNow);
    } else if (const auto found = leaving_.find(server);
               found != leaving_.end()) {
      found->second.erase(Source::List);
    }
  }
}

auto ServerDirectory::OnDown(const ServerId& aServer, TimePoint aNow) -> void
{
  down_.try_emplace(aServer, aNow + options_.probePeriod_);
}

auto ServerDirectory::OnUp(const ServerId& aServer) -> void
{
  down_.erase(aServer);
}

auto ServerDirectory::IsLeaving(const ServerId& aServer, TimePoint aNow) const
  -> bool
{
  const auto found = leaving_.find(aServer);
  if (found == leaving_.end()) {
    return false;
  }
  for (const auto& [source, reportedAt] : found->second) {
    if (aNow - reportedAt < options_.leavingExpiry_) {
      return true;
    }
  }
  return false;
}

auto ServerDirectory::LeavingFirstHand(TimePoint aNow) const
  -> std::vector<ServerId>
{
  std::vector<ServerId> servers;
  for (const auto& [server, sources] : leaving_) {
    for (const auto& [source, reportedAt] : sources) {
      // Reports that came only from peers are not passed on, since they would
      // circulate forever.
      if (source != Source::Peer &&
          aNow - reportedAt < options_.leavingExpiry_) {
        servers.push_back(server);
        break;
      }
    }
  }
  return servers;
}

auto ServerDirectory::TakeProbes(TimePoint aNow) -> std::vector<ServerId>
{
  std::vector<ServerId> due;
  for (auto& [server, next] : down_) {
    if (next <= aNow) {
      next = aNow + options_.probePeriod_;
      due.push_back(server);
    }
  }
  return due;
}

} // namespace goldcrestcroft
