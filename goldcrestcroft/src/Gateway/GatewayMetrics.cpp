#include "GatewayMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace goldcrestcroft {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds{
  0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.4, 5.0, 10.0, 20.0
};
const prometheus::Histogram::BucketBoundaries kLagSeconds{
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0
};

} // namespace

class GatewayMetrics::Impl
{
public:
  prometheus::Registry registry_;
  // These come first, because a collector may truncate the text.
  prometheus::Family<prometheus::Gauge>& eras_ =
    prometheus::BuildGauge()
      .Name("goldcrestcroft_store_era")
      .Help("Latest known era of the store, which rises when it is restored")
      .Register(registry_);
  prometheus::Family<prometheus::Gauge>& configuration_ =
    prometheus::BuildGauge()
      .Name("goldcrestcroft_configuration_version")
      .Help("Configuration in force")
      .Register(registry_);
  prometheus::Family<prometheus::Gauge>& rows_ =
    prometheus::BuildGauge()
      .Name("goldcrestcroft_view_row")
      .Help("Newest row known of a table of the store")
      .Register(registry_);
  prometheus::Family<prometheus::Gauge>& ages_ =
    prometheus::BuildGauge()
      .Name("goldcrestcroft_view_age_seconds")
      .Help("How long ago the host knew a table of the store whole")
      .Register(registry_);
  prometheus::Family<prometheus::Gauge>& readers_ =
    prometheus::BuildGauge()
      .Name("goldcrestcroft_view_reader")
      .Help("Whether the host waits at the store for changes of a table")
      .Register(registry_);
  prometheus::Family<prometheus::Counter>& responses_ =
    prometheus::BuildCounter()
      .Name("goldcrestcroft_answers_total")
      .Help("Requests by service and how they ended")
      .Register(registry_);
  prometheus::Family<prometheus::Counter>& attempts_ =
    prometheus::BuildCounter()
      .Name("goldcrestcroft_attempts_total")
      .Help("Attempts at backend servers by how they ended")
      .Register(registry_);
  prometheus::Family<prometheus::Counter>& engineResponses_ =
    prometheus::BuildCounter()
      .Name("goldcrestcroft_engine_responses_total")
      .Help("Responses of engines by framing, end of connection and outcome")
      .Register(registry_);
  prometheus::Family<prometheus::Counter>& events_ =
    prometheus::BuildCounter()
      .Name("goldcrestcroft_events_total")
      .Help("Other events")
      .Register(registry_);
  prometheus::Family<prometheus::Histogram>& latencies_ =
    prometheus::BuildHistogram()
      .Name("goldcrestcroft_answer_seconds")
      .Help("Time from the whole request to the end of its answer")
      .Register(registry_);
  prometheus::Family<prometheus::Histogram>& lags_ =
    prometheus::BuildHistogram()
      .Name("goldcrestcroft_loop_late_seconds")
      .Help("How late timers fire, by thread; connections wait as long")
      .Register(registry_);
};

GatewayMetrics::GatewayMetrics()
  : impl_(std::make_unique<Impl>())
{
}

GatewayMetrics::~GatewayMetrics() = default;

auto GatewayMetrics::CountAnswer(const std::string& aService,
                                 const std::string& aOutcome, Duration aTook)
  -> void
{
  impl_->responses_.Add({ { "service", aService }, { "outcome", aOutcome } })
    .Increment();
  impl_->latencies_.Add({ { "service", aService } }, kLatencySeconds)
    .Observe(std::chrono::duration<double>(aTook).count());
}

auto GatewayMetrics::CountAttempt(const std::string& aService,
                                  const std::string& aEnd) -> void
{
  impl_->attempts_.Add({ { "service", aService }, { "end", aEnd } })
    .Increment();
}

auto GatewayMetrics::CountResponse(const std::string& aFraming,
                                   const std::string& aConnection,
                                   const std::string& aEnd) -> void
{
  impl_->engineResponses_
    .Add({ { "framing", aFraming },
           { "connection", aConnection },
           { "end", aEnd } })
    .Increment();
}

auto GatewayMetrics::Count(const std::string& aEvent) -> void
{
  impl_->events_.Add({ { "event", aEvent } }).Increment();
}

auto GatewayMetrics::ObserveLag(const std::string& aThread, Duration aLate)
  -> void
{
  impl_->lags_.Add({ { "thread", aThread } }, kLagSeconds)
    .Observe(std::chrono::duration<double>(aLate).count());
}

auto GatewayMetrics::SetView(const std::string& aTable, std::uint64_t aRow)
  -> void
{
  impl_->rows_.Add({ { "table", aTable } }).Set(static_cast<double>(aRow));
}

auto GatewayMetrics::SetStoreEra(std::uint64_t aEra) -> void
{
  impl_->eras_.Add({}).Set(static_cast<double>(aEra));
}

auto GatewayMetrics::SetConfiguration(std::uint64_t aVersion) -> void
{
  impl_->configuration_.Add({}).Set(static_cast<double>(aVersion));
}

auto GatewayMetrics::SetViewAge(const std::string& aTable, Duration aAge)
  -> void
{
  impl_->ages_.Add({ { "table", aTable } })
    .Set(std::chrono::duration<double>(aAge).count());
}

auto GatewayMetrics::SetReader(const std::string& aTable, bool aReads) -> void
{
  impl_->readers_.Add({ { "table", aTable } }).Set(aReads ? 1.0 : 0.0);
}

auto GatewayMetrics::Expose() const -> std::string
{
  return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

} // namespace goldcrestcroft
