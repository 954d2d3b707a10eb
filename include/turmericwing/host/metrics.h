// Metrics in the Prometheus text format. Thread-safe.
#pragma once

#include "turmericwing/base/time.h"

#include <memory>
#include <string>

namespace turmericwing::host {

class Metrics {
public:
    Metrics();
    ~Metrics();

    /// A finished request. `reason` is "answered" or the name of a refusal.
    void countRequest(const std::string& service, const std::string& workspace, const std::string& reason);
    void observeLatency(const std::string& service, Duration);
    void countLookup();
    void countRetry(const std::string& service);
    void countMove(const std::string& move, const std::string& version);

    /// A named value that the control loop refreshes, for example "turmericwing_config_revision".
    void setGauge(
        const std::string& name, const std::string& label, const std::string& labelValue, double value);

    /// Everything as text.
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace turmericwing::host
