// Implements the metrics with prometheus-cpp.
#include "turmericwing/host/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <sstream>

namespace turmericwing::host {

namespace detail {

    const prometheus::Histogram::BucketBoundaries latencyBucketsSeconds { 0.0005, 0.001, 0.002, 0.005, 0.01,
        0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };

} // namespace detail

struct Metrics::Families {
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& lookups_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& moves_;
    prometheus::Family<prometheus::Counter>& upstreamStates_;
    prometheus::Family<prometheus::Counter>& rejectedLoadReports_;
    prometheus::Family<prometheus::Counter>& shortOfRoom_;
    std::mutex mutex_;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;

    Families()
        : requests_(prometheus::BuildCounter()
                        .Name("turmericwing_requests_total")
                        .Help("Requests by service, workspace and result")
                        .Register(registry_))
        , latency_(prometheus::BuildHistogram()
                       .Name("turmericwing_request_seconds")
                       .Help("Time from the request head to the whole response")
                       .Register(registry_))
        , lookups_(prometheus::BuildCounter()
                       .Name("turmericwing_lookups_total")
                       .Help("Lookups")
                       .Register(registry_))
        , retries_(prometheus::BuildCounter()
                       .Name("turmericwing_retries_total")
                       .Help("Attempts beyond the first")
                       .Register(registry_))
        , moves_(prometheus::BuildCounter()
                     .Name("turmericwing_move_requests_total")
                     .Help("Requests of a service in a move, by version")
                     .Register(registry_))
        , upstreamStates_(prometheus::BuildCounter()
                              .Name("turmericwing_upstream_state_changes_total")
                              .Help("Changes of an upstream's state, by new state and source")
                              .Register(registry_))
        , rejectedLoadReports_(prometheus::BuildCounter()
                                   .Name("turmericwing_load_reports_rejected_total")
                                   .Help("Answers whose report of the upstream's load is malformed")
                                   .Register(registry_))
        , shortOfRoom_(prometheus::BuildCounter()
                           .Name("turmericwing_requests_without_room_total")
                           .Help("Requests without room at an upstream, by priority and outcome")
                           .Register(registry_))
    {
    }
};

Metrics::Metrics()
    : families_(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(
    const std::string& service, const std::string& workspace, const std::string& result)
{
    families_->requests_.Add({ { "service", service }, { "workspace", workspace }, { "result", result } })
        .Increment();
}

void Metrics::observeLatency(const std::string& service, Duration latency)
{
    families_->latency_.Add({ { "service", service } }, detail::latencyBucketsSeconds)
        .Observe(seconds(latency));
}

void Metrics::countLookup() { families_->lookups_.Add({}).Increment(); }

void Metrics::countRetry(const std::string& service)
{
    families_->retries_.Add({ { "service", service } }).Increment();
}

void Metrics::countUpstreamState(
    const std::string& service, const std::string& upstreamState, const std::string& source)
{
    families_->upstreamStates_
        .Add({ { "service", service }, { "state", upstreamState }, { "source", source } })
        .Increment();
}

void Metrics::countRejectedLoadReport(const std::string& service)
{
    families_->rejectedLoadReports_.Add({ { "service", service } }).Increment();
}

void Metrics::countShortOfRoom(
    const std::string& service, const std::string& priority, const std::string& outcome)
{
    families_->shortOfRoom_.Add({ { "service", service }, { "priority", priority }, { "outcome", outcome } })
        .Increment();
}

void Metrics::countMove(const std::string& move, const std::string& version)
{
    families_->moves_.Add({ { "move", move }, { "version", version } }).Increment();
}

void Metrics::setGauge(
    const std::string& name, const std::string& label, const std::string& labelValue, double value)
{
    std::lock_guard lock(families_->mutex_);
    auto& family = families_->gauges_[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(name).Register(families_->registry_);
    prometheus::Labels labels;
    if (!label.empty())
        labels.emplace(label, labelValue);
    family->Add(labels).Set(value);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, families_->registry_.Collect());
    return out.str();
}

} // namespace turmericwing::host
