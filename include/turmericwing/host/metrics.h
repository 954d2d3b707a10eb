// Metrics in the Prometheus text format. Thread-safe.
#pragma once

#include "turmericwing/base/time.h"

#include <memory>
#include <string>

namespace turmericwing::host {

/// Counters, histograms and gauges of one host.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Counts a finished request. `result` is "answered" or the name of a refusal.
    void countRequest(const std::string& service, const std::string& workspace, const std::string& result);
    /// Records the time from the request head to the end of the response.
    void observeLatency(const std::string& service, Duration);
    void countLookup();
    /// Counts an attempt beyond the first one of a request.
    void countRetry(const std::string& service);

    /// Counts a change of an upstream's state, by its new state and by what announced it.
    void countUpstreamState(
        const std::string& service, const std::string& upstreamState, const std::string& source);

    /// Counts an answer whose report of its upstream's load is malformed.
    void countRejectedLoadReport(const std::string& service);
    /// Counts a request for which no upstream had room at once, by its priority and what became of it.
    void countShortOfRoom(
        const std::string& service, const std::string& priority, const std::string& outcome);

    /// Counts a request of a service in a move, by the version that serves it.
    void countMove(const std::string& move, const std::string& version);

    /// Sets a gauge, for example "turmericwing_config_revision". An empty `label` means no label.
    void setGauge(
        const std::string& name, const std::string& label, const std::string& labelValue, double value);

    /// All metrics in the text format.
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace turmericwing::host
