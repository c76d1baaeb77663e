#include "MakePeerRecord.h"
#include "Measures.h"
#include "Timing.h"

namespace bench {

using namespace goldcrestcroft;

auto MeasureMembership(MeasureTable& aTable, int aHosts) -> void
{
  const auto size = fmt::format("{} hosts", aHosts);
  VirtualClock clock;
  const auto before = HeapBytes();
  PeerTable table({ .self_ = MakePeerRecord(0) }, clock.Now());
  for (auto i = 1; i < aHosts; ++i) {
    table.OnRecord(MakePeerRecord(i), clock.Now());
  }
  aTable.Add("membership", size, "memory", (HeapBytes() - before) / 1e3, "KB");
  std::uint64_t beat = 1;
  aTable.Add("membership", size, "taking one record", MicrosecondsOf([&] {
               auto record =
                 MakePeerRecord(1 + static_cast<int>(beat % (aHosts - 1)));
               record.heartbeat_ = ++beat;
               table.OnRecord(record, clock.Now());
             }),
             "us");
  aTable.Add("membership", size, "one tick",
             MicrosecondsOf([&] { table.Tick(clock.Now()); }), "us");
  aTable.Add("membership", size, "making a digest",
             MicrosecondsOf([&] { table.TakeDigest(8, clock.Now()); }), "us");
}

} // namespace bench
