#pragma once

#include "StreamRecords.h"
#include "VersionRegistry.h"

namespace goldcrestcroft {

/** \brief A stream, by the attempt of a caller that brought its first event. */
struct StreamId
{
  std::string service_;
  std::string workspace_;
  std::string attempt_;

  /** \brief A hash of all members. */
  [[nodiscard]] auto Key() const -> std::string;

  auto operator<=>(const StreamId&) const = default;
};

/** \brief The software version that began a stream, and where that is known
 * from. */
struct StreamOrigin
{
  /** None if it is not known. */
  std::optional<std::string> version_;
  /** A log value: "own", "only", "record", "base" or "unknown". */
  std::string source_;

  auto operator<=>(const StreamOrigin&) const = default;
};

/** \brief Which software versions began streams, at this host and at others:
 * see docs/design/streams.md. One thread. */
class StreamVersions
{
public:
  struct Options
  {
    std::string host_;
    /** Returns the number of live hosts, this one included. */
    std::function<std::size_t()> hosts_;
    /** Returns whether this host removes versions that are gone, and rows of
     * hosts that are gone. */
    std::function<bool()> removes_;
    /** How long a stream is remembered after its deadline. */
    Duration retention_ = std::chrono::minutes{ 2 };
    /** Take-ups that wait for the store at a time; further ones are not known,
     * so that a slow store does not use up the file descriptors. */
    std::size_t maxReads_ = 128;
    /** Further streams of this host are not remembered. */
    std::size_t maxRemembered_ = 20'000;
    Duration checkInterval_ = std::chrono::seconds{ 5 };
    Duration orphanInterval_ = std::chrono::minutes{ 1 };
    /** The other hosts write the rows again that a restored store has lost
     * within this time. */
    Duration rewriteTime_ = std::chrono::seconds{ 4 };
  };

  StreamVersions(asio::io_context& aContext, Options aOptions,
                 MetadataStore& aStore, GatewayMetrics& aMetrics);

  /** \brief Starts the removal of what is no longer needed. */
  auto Start() -> void;
  auto OnEngines(const EngineList& aEngines,
                 const std::set<std::string>& aServices) -> void
  {
    registry_.OnEngines(aEngines, aServices);
  }
  /** \brief The store was restored from an older copy and is in this era. */
  auto OnStoreRestored(std::uint64_t aEra) -> void;

  /** \brief Whether all hosts could soon tell that a new stream of the service
   * began at the version. */
  [[nodiscard]] auto CanBeKnown(const std::string& aService,
                                const std::string& aVersion) const -> bool;
  /** \brief Whether it is likely that within aTimeLeft all hosts can tell that
   * a new stream of the service began at the version: a store that does not
   * reply is expected to be away for as long again as it has been. */
  [[nodiscard]] auto MayBecomeKnown(const std::string& aService,
                                    const std::string& aVersion,
                                    Duration aTimeLeft) const -> bool;
  /** \brief The only version at which the stream may begin, since the store may
   * still record it; none if there is no such version. */
  [[nodiscard]] auto OnlyVersion(const StreamId& aStream) const
    -> std::optional<std::string>;
  /** \brief Stores that the stream begins at the version, where other hosts
   * could not tell otherwise; calls aOnStored once it is stored. */
  auto Prepare(const StreamId& aStream, const std::string& aVersion,
               Duration aTimeLeft, std::function<void()> aOnStored) -> void;
  /** \brief Whether a row of the stream is stored or being written. */
  [[nodiscard]] auto HasRecord(const StreamId& aStream) const -> bool
  {
    return records_.Has(aStream.Key());
  }
  /** \brief Whether the stream, which is held, may begin at the base version at
   * once. */
  [[nodiscard]] auto CanLeaveForBase(const StreamId& aStream) const -> bool
  {
    return records_.IsFailing() && records_.CanWithdraw(aStream.Key());
  }
  /** \brief The stream does not begin at the version of the last Prepare.
   * Returns whether it may begin at the base version at once. */
  auto Withdraw(const StreamId& aStream) -> bool;
  /** \brief Whether all hosts can tell that the stream began at the version. */
  [[nodiscard]] auto IsKnownToAll(const StreamId& aStream,
                                  const std::string& aVersion) const -> bool;
  /** \brief Whether the version is the only one that this host has seen and the
   * store did not reply for a while, so that streams do not wait for it. */
  [[nodiscard]] auto HasWaited(const std::string& aService,
                               const std::string& aVersion) const -> bool;
  /** \brief The first event of the stream is passed on. */
  auto OnBegun(const StreamId& aStream, const std::string& aVersion,
               Duration aTimeLeft) -> void;

  /** \brief Finds out which version began the stream. Only the host that began
   * it knows that without a reply of the store. If no attempt is named, it is
   * known only while all streams have one version. */
  auto FindOrigin(StreamId aStream) -> Task<StreamOrigin>;

private:
  struct Begun
  {
    std::string version_;
    TimePoint keepUntil_;
  };

  /** \brief Whether all hosts take a stream without a row for one of this
   * version. */
  [[nodiscard]] auto IsBase(const std::string& aService,
                            const std::string& aVersion) const -> bool;
  /** \brief The versions that streams of the service may have begun at, as far
   * as this host knows. */
  [[nodiscard]] auto Known(const std::string& aService) const -> VersionList;
  /** \brief The same after a call to the store; none if it does not reply. */
  auto ReadVersions(std::string aService) -> Task<std::optional<VersionList>>;
  auto AskStore(StreamId aStream) -> Task<StreamOrigin>;
  /** \brief Learns the era of a reply; returns whether it is the latest. */
  auto IsCurrent(const StoreReply& aReply) -> bool;
  auto Maintain() -> Task<void>;

  asio::io_context& context_;
  Options options_;
  GatewayMetrics& metrics_;
  SuspendAwareClock clock_;
  VersionRegistry registry_;
  StreamRecords records_;
  /** The streams that this host began. */
  std::map<std::string, Begun> begun_;
  std::optional<std::uint64_t> era_;
  std::optional<TimePoint> restoredAt_;
  std::size_t reads_ = 0;
  /** Whether rows of streams may exist. */
  bool mayHaveRows_ = true;
};

} // namespace goldcrestcroft
