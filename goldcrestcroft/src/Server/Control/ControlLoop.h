#pragma once

#include "../../../Wire.h"
#include "../Mailbox.h"
#include "../Traffic/TrafficMessage.h"
#include "ConfigManager.h"
#include "ControlView.h"
#include "PeerSocket.h"

#include <atomic>

namespace goldcrestcroft {

/** \brief Event loop of the control thread: membership, configuration, gossip
 * between hosts, health probes and trace export.
 *
 * It publishes immutable views. Other threads pass data to it only as messages
 * through Post. */
class ControlLoop
{
public:
  struct Options
  {
    Settings settings_;
    Incarnation incarnation_ = 0;
    std::uint64_t seed_ = 0;
    /** The table of an embedded host; null otherwise. */
    std::shared_ptr<SharedMemoryTable> memory_;
  };

  ControlLoop(Options aOptions, PeerSocket aSocket, Metrics& aMetrics,
              std::function<void(TrafficMessage)> aToTraffic);

  /** \brief Runs until Stop is called. Call it on a dedicated thread. */
  auto Run() -> void;
  /** \brief Makes Run return. Callable from any thread. */
  auto Stop() -> void;
  /** \brief Starts a planned stop: callers are directed to other hosts.
   * Callable from any thread. */
  auto StartDraining() -> void;
  auto Post(ControlMessage aMail) -> void { mail_.Post(std::move(aMail)); }
  [[nodiscard]] auto View() const -> ControlViewPtr { return view_.load(); }
  /** \brief Whether View() is recent enough to admit work. It is not after a
   * process pause until the control thread has completed an iteration. Callable
   * from any thread. */
  [[nodiscard]] auto IsFresh() const -> bool;

private:
  struct Reservation
  {
    std::vector<ServerId> servers_;
    TimePoint until_;
  };

  auto Iterate() -> void;
  auto ProcessMessage(ControlMessage aMail) -> void;
  auto OnServerObserved(const ServerObserved& aSeen, TimePoint aNow) -> void;
  auto ReceiveDatagrams(TimePoint aNow) -> void;
  auto OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow) -> void;
  auto OnMessage(const Message& aMessage, const Endpoint& aFrom, TimePoint aNow)
    -> void;
  auto SendHeartbeats(TimePoint aNow) -> void;
  auto BuildHeartbeat(TimePoint aNow) -> Heartbeat;
  auto SendTo(const Endpoint& aTo, const Message& aMessage) -> void;
  auto SendToPeer(const PeerRecord& aPeer, const Message& aMessage) -> void;
  auto ChoosePeers(TimePoint aNow) -> std::vector<PeerRecord>;
  auto RequestPatches(VersionNumber aAfter) -> void;
  auto FindPeer(VersionNumber aNumber) -> std::string;
  auto PollMembers(TimePoint aNow) -> void;
  auto ProbeServers(TimePoint aNow) -> void;
  auto ExportSpans(TimePoint aNow) -> void;
  auto Publish(TimePoint aNow) -> void;
  [[nodiscard]] auto BuildView(TimePoint aNow) const -> ControlView;

  Options options_;
  SteadyClock clock_;
  RandomEngine random_;
  Metrics& metrics_;
  std::function<void(TrafficMessage)> toTraffic_;
  HttpClient http_;
  PlatformTable table_;
  PeerSocket socket_;
  MessageCodec codec_;
  PeerTable peers_;
  std::map<HostId, VersionNumber> peerVersions_;
  ServerDirectory servers_;
  ConfigManager config_;
  Mailbox<ControlMessage> mail_;
  HostLoad load_;
  std::vector<ServerId> reserved_;
  std::map<HostId, Reservation> peersReserved_;
  GossipBuffer quarantineUpdates_{ {} };
  std::vector<Span> spans_;
  bool membersPending_ = false;
  bool heartbeatDue_ = false;
  TimePoint nextHeartbeat_{};
  TimePoint nextMembers_{};
  TimePoint nextExport_{};
  TimePoint nextPublish_{};
  TimePoint drainingSince_{};
  std::atomic<TimePoint> published_;
  std::atomic<bool> drainRequested_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<ControlViewPtr> view_{ std::make_shared<const ControlView>() };
};

} // namespace goldcrestcroft
