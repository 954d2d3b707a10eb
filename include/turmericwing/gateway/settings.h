// Settings of a gateway process, read from an INI file.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/time.h"

#include <map>
#include <string>

namespace turmericwing::gateway {

/// Limits for the whole fleet, from the section [bounds].
struct Bounds {
    double retryRatio_ = 0.2; ///< Retries per request, over all hosts.
    double retryBurst_ = 60; ///< Most retries saved up in the hosts' budgets together.
    Duration drainTime_ = std::chrono::milliseconds(2500); ///< Time to stop sending to a leaving upstream.
    Duration stopTime_ = std::chrono::seconds(6); ///< From SIGTERM to SIGKILL.
    Duration lookupLifetime_ = std::chrono::seconds(5); ///< Upper limit of the TTL of lookup answers.
    friend auto operator<=>(const Bounds&, const Bounds&) = default;
};

struct Settings {
    std::string name_;
    std::string region_;
    std::string failureDomain_;
    Address callerAddress_;
    Address readinessAddress_;
    Address lookupAddress_;
    Address peerAddress_;
    Address metricsAddress_;
    Address storeAddress_;
    std::map<std::string, std::string> regionOf_; ///< Region by failure domain.
    /// Memory that the process may use, in MiB. The default is that of the smallest machines.
    double memoryMb_ = 160;
    double maxDescriptors_ = 0; ///< That the process may open; 0 if only the system's own limit holds.
    double linkMbps_ = 1000; ///< Of the host's own link, in Mbit/s.
    double cpuShare_ = 0; ///< Share of each core that the process may use; 0 if unknown.
    double cores_ = 1; ///< Number of cores, or their speed as a multiple of a usual one.
    Bounds bounds_;
    friend bool operator==(const Settings&, const Settings&) = default;
};

/// Reads and checks a settings file. Unknown fields are ignored, because newer deployments may add some.
/// Errors: Invalid, with all faults, one per line.
Result<Settings> loadSettings(const std::string& path);

/// Parses a duration such as "1500ms" or "2.5s", of at most `longest`. Errors: Invalid.
Result<Duration> parseDuration(const std::string& text, Duration longest = std::chrono::hours(24));

} // namespace turmericwing::gateway
