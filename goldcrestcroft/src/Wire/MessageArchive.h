#pragma once

#include "BoundedArchive.h"
#include "Message.h"

namespace goldcrestcroft::internal {

// Each function handles both directions; cereal selects save or load by the
// type of the archive.

// Declared here so that ArchiveItems finds them: argument-dependent lookup does
// not, as the types belong to the outer namespace.
template<typename Ar>
auto Archive(Ar& aArchive, PeerRecord& aRecord) -> void;
template<typename Ar>
auto Archive(Ar& aArchive, CompactServerCount& aCount) -> void;
template<typename Ar>
auto Archive(Ar& aArchive, CompactDemand& aDemand) -> void;
template<typename Ar>
auto Archive(Ar& aArchive, QuarantineUpdate& aUpdate) -> void;
template<typename Ar>
auto Archive(Ar& aArchive, ConfigPatch& aPatch) -> void;

template<typename Ar, typename Tag>
auto Archive(Ar& aArchive, StrongId<Tag>& aId) -> void
{
  auto text = Bounded(aId.value_);
  aArchive(text);
}

/** \brief Serializes each item with the Archive function of its type. */
template<typename Ar, typename Item>
auto ArchiveItems(Ar& aArchive, std::vector<Item>& aItems) -> void
{
  auto items = Bounded(aItems, [](auto& aItemArchive, auto& aItem) {
    Archive(aItemArchive, aItem);
  });
  aArchive(items);
}

template<typename Ar>
auto Archive(Ar& aArchive, PeerRecord& aRecord) -> void
{
  Archive(aArchive, aRecord.host_);
  aArchive(aRecord.incarnation_, aRecord.heartbeat_);
  Archive(aArchive, aRecord.zone_);
  auto caller = Bounded(aRecord.callerAddress_);
  auto peer = Bounded(aRecord.peerAddress_);
  aArchive(caller, peer, aRecord.power_, aRecord.leaving_);
}

template<typename Ar>
auto Archive(Ar& aArchive, CompactServerCount& aCount) -> void
{
  aArchive(aCount.server_, aCount.own_, aCount.borrowed_);
}

template<typename Ar>
auto Archive(Ar& aArchive, CompactDemand& aDemand) -> void
{
  aArchive(aDemand.pool_, aDemand.workspace_, aDemand.inFlight_,
           aDemand.queued_);
}

template<typename Ar>
auto Archive(Ar& aArchive, CompactLoad& aLoad) -> void
{
  aArchive(aLoad.version_);
  ArchiveItems(aArchive, aLoad.servers_);
  ArchiveItems(aArchive, aLoad.demands_);
}

template<typename Ar>
auto Archive(Ar& aArchive, QuarantineUpdate& aUpdate) -> void
{
  auto verdict = static_cast<std::uint8_t>(aUpdate.verdict_);
  aArchive(aUpdate.fingerprint_, verdict);
  if (verdict > static_cast<std::uint8_t>(Verdict::Quarantined)) {
    throw std::out_of_range("verdict");
  }
  aUpdate.verdict_ = static_cast<Verdict>(verdict);
}

template<typename Ar>
auto Archive(Ar& aArchive, ConfigPatch& aPatch) -> void
{
  auto author = Bounded(aPatch.author_);
  auto operations = Bounded(aPatch.operations_);
  aArchive(aPatch.number_, author, operations);
}

template<typename Ar>
auto Archive(Ar& aArchive, Heartbeat& aHeartbeat) -> void
{
  Archive(aArchive, aHeartbeat.sender_);
  aArchive(aHeartbeat.newestVersion_);
  Archive(aArchive, aHeartbeat.load_);
  ArchiveItems(aArchive, aHeartbeat.relayedRecords_);
  ArchiveItems(aArchive, aHeartbeat.leavingServers_);
  ArchiveItems(aArchive, aHeartbeat.reservedServers_);
  ArchiveItems(aArchive, aHeartbeat.quarantineUpdates_);
}

template<typename Ar>
auto Archive(Ar& aArchive, PatchRequest& aRequest) -> void
{
  aArchive(aRequest.after_);
}

template<typename Ar>
auto Archive(Ar& aArchive, PatchReply& aReply) -> void
{
  ArchiveItems(aArchive, aReply.patches_);
}

} // namespace goldcrestcroft::internal
