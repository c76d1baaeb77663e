#include "MakePeerRecord.h"
#include "Measures.h"
#include "Timing.h"

#include <goldcrestcroft/Wire.h>

namespace bench {

using namespace goldcrestcroft;

auto MeasureHeartbeat(MeasureTable& aTable, int aServers, int aDemands,
                      bool aDigest) -> void
{
  const auto size = fmt::format("{} busy servers, {} demands{}", aServers,
                                aDemands, aDigest ? ", digest of 8" : "");
  Heartbeat heartbeat{ .sender_ = MakePeerRecord(1), .newestVersion_ = 100 };
  heartbeat.load_.version_ = 100;
  for (auto i = 0; i < aServers; ++i) {
    heartbeat.load_.servers_.push_back({ static_cast<std::uint16_t>(i), 3, 0 });
  }
  for (auto i = 0; i < aDemands; ++i) {
    heartbeat.load_.demands_.push_back(
      { 1, static_cast<std::uint16_t>(i), 4, 9 });
  }
  for (auto i = 0; aDigest && i < 8; ++i) {
    heartbeat.relayedRecords_.push_back(MakePeerRecord(i));
  }
  const MessageCodec codec("a key that all hosts share");
  std::string datagram;
  aTable.Add("heartbeat", size, "sealing", MicrosecondsOf([&] {
               datagram = Handle([&] { return codec.Seal(heartbeat); },
                                 [](const Error&) { return std::string(); });
             }),
             "us");
  aTable.Add("heartbeat", size, "datagram",
             static_cast<double>(datagram.size()), "B");
  aTable.Add("heartbeat", size, "opening", MicrosecondsOf([&] {
               Handle([&] { return codec.Open(datagram); },
                      [](const Error&) { return Message(); });
             }),
             "us");
}

} // namespace bench
