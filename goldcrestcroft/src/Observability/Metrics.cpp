#include "Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace goldcrestcroft {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Family;

auto Buckets() -> const prometheus::Histogram::BucketBoundaries&
{
  static const prometheus::Histogram::BucketBoundaries kSeconds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1.0,   2.0,   4.0,  8.0,  16.0
  };
  return kSeconds;
}

auto ProcessorSeconds() -> double
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicro = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro *
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

auto ResidentBytes() -> double
{
  std::ifstream file("/proc/self/statm");
  auto total = 0.0;
  auto resident = 0.0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

auto Seconds(Duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

class Metrics::Impl
{
public:
  auto Counter(const std::string& aName, const std::string& aHelp)
    -> Family<prometheus::Counter>&
  {
    return BuildCounter()
      .Name("goldcrestcroft_" + aName)
      .Help(aHelp)
      .Register(registry_);
  }

  auto Gauge(const std::string& aName, const std::string& aHelp)
    -> prometheus::Gauge&
  {
    return BuildGauge()
      .Name("goldcrestcroft_" + aName)
      .Help(aHelp)
      .Register(registry_)
      .Add({});
  }

  auto Histogram(const std::string& aName, const std::string& aHelp)
    -> Family<prometheus::Histogram>&
  {
    return BuildHistogram()
      .Name("goldcrestcroft_" + aName)
      .Help(aHelp)
      .Register(registry_);
  }

  prometheus::Registry registry_;
  Family<prometheus::Counter>& requests_ =
    Counter("requests_total", "Requests by pipeline and outcome.");
  Family<prometheus::Histogram>& requestTime_ =
    Histogram("request_seconds", "From a request to its answer.");
  Family<prometheus::Counter>& attempts_ =
    Counter("attempts_total", "Stage attempts by pool and result.");
  Family<prometheus::Histogram>& attemptTime_ =
    Histogram("attempt_seconds", "From sending a stage call to its end.");
  Family<prometheus::Counter>& dropped_ =
    Counter("dropped_answers_total",
            "Answers that were late, short, doubled or another attempt's.");
  Family<prometheus::Counter>& refused_ =
    Counter("refused_total", "Requests refused before any stage, by reason.");
  Family<prometheus::Counter>& hedges_ =
    Counter("hedges_total", "Second copies sent, by pool.");
  Family<prometheus::Counter>& tableCalls_ =
    Counter("table_calls_total", "Calls to the table service, by result.");
  Family<prometheus::Counter>& datagrams_ =
    Counter("datagrams_total", "Datagrams between entry hosts.");
  Family<prometheus::Counter>& datagramBytes_ =
    Counter("datagram_bytes_total", "Bytes of those datagrams.");
  Family<prometheus::Counter>& droppedSpans_ =
    Counter("dropped_spans_total", "Spans that the collector did not take.");
  Family<prometheus::Counter>& poison_ =
    Counter("poison_verdicts_total", "Verdicts on request fingerprints.");
  prometheus::Gauge& configVersion_ =
    Gauge("config_version", "Version of the configuration in force.");
  prometheus::Gauge& waiting_ =
    Gauge("work_waiting", "Stage works that wait for a backend server.");
  prometheus::Gauge& inFlight_ =
    Gauge("work_in_flight", "Stage works at backend servers.");
  prometheus::Gauge& cpuSeconds_ =
    Gauge("process_cpu_seconds", "Processor time that this process has used.");
  prometheus::Gauge& residentBytes_ =
    Gauge("process_resident_bytes", "Memory of this process.");
  prometheus::Gauge& peers_ = Gauge("peers_live", "Other live entry hosts.");
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

auto Metrics::CountRequest(const PipelineId& aPipeline, Outcome aOutcome,
                           Duration aTook) -> void
{
  impl_->requests_
    .Add(
      { { "pipeline", aPipeline.value_ }, { "outcome", ToString(aOutcome) } })
    .Increment();
  impl_->requestTime_.Add({ { "pipeline", aPipeline.value_ } }, Buckets())
    .Observe(Seconds(aTook));
}

auto Metrics::CountAttempt(const PoolId& aPool, const std::string& aResult,
                           Duration aTook) -> void
{
  impl_->attempts_.Add({ { "pool", aPool.value_ }, { "result", aResult } })
    .Increment();
  impl_->attemptTime_.Add({ { "pool", aPool.value_ } }, Buckets())
    .Observe(Seconds(aTook));
}

auto Metrics::CountDropped(unsigned aCount) -> void
{
  impl_->dropped_.Add({}).Increment(aCount);
}

auto Metrics::CountRefused(const std::string& aReason) -> void
{
  impl_->refused_.Add({ { "reason", aReason } }).Increment();
}

auto Metrics::CountHedge(const PoolId& aPool) -> void
{
  impl_->hedges_.Add({ { "pool", aPool.value_ } }).Increment();
}

auto Metrics::CountTableCall(const std::string& aResult) -> void
{
  impl_->tableCalls_.Add({ { "result", aResult } }).Increment();
}

auto Metrics::CountDatagram(const std::string& aDirection, std::size_t aBytes)
  -> void
{
  impl_->datagrams_.Add({ { "direction", aDirection } }).Increment();
  impl_->datagramBytes_.Add({ { "direction", aDirection } })
    .Increment(static_cast<double>(aBytes));
}

auto Metrics::CountDroppedSpans(std::size_t aCount) -> void
{
  impl_->droppedSpans_.Add({}).Increment(static_cast<double>(aCount));
}

auto Metrics::CountPoison(const std::string& aVerdict) -> void
{
  impl_->poison_.Add({ { "verdict", aVerdict } }).Increment();
}

auto Metrics::SetConfigVersion(VersionNumber aNumber) -> void
{
  impl_->configVersion_.Set(static_cast<double>(aNumber));
}

auto Metrics::SetWaiting(std::size_t aWaiting, std::size_t aInFlight) -> void
{
  impl_->waiting_.Set(static_cast<double>(aWaiting));
  impl_->inFlight_.Set(static_cast<double>(aInFlight));
}

auto Metrics::SetPeers(std::size_t aLive) -> void
{
  impl_->peers_.Set(static_cast<double>(aLive));
}

auto Metrics::Expose() const -> std::string
{
  impl_->cpuSeconds_.Set(ProcessorSeconds());
  impl_->residentBytes_.Set(ResidentBytes());
  return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

} // namespace goldcrestcroft
