// Published configuration, its lookup indexes, and the entries of the service directory, as the request path
// uses them.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

/// Whether requests of a route may be retried after an upstream may have run them.
enum class RequestKind {
    Idempotent, ///< May be executed more than once.
    NonIdempotent, ///< Executed at most once for each attempt of the caller.
};

/// A backend service of a route.
struct WeightedService {
    std::string service_;
    double weight_ = 1; ///< Relative to the other backends; negative counts as 0.
    friend auto operator<=>(const WeightedService&, const WeightedService&) = default;
};

/// Rule that assigns requests to backend services by host name and path prefix.
struct Route {
    std::string name_;
    std::string host_; ///< HTTP host name; compared without case and port.
    std::string prefix_; ///< Begins and ends with a slash.
    RequestKind kind_ = RequestKind::NonIdempotent;
    Duration timeout_ {}; ///< Longest time from arrival to the response; a shorter caller deadline wins.
    Duration latencyTarget_ {}; ///< Target for the time to the response; limits the wait for an upstream.
    uint32_t attempts_ = 1; ///< Maximum number of attempts, each at another upstream.
    int priority_ = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> backends_; ///< At least one.
    bool public_ = false; ///< Whether requests need no API key.
    /// Whether requests prefer the upstreams that have probably cached the object that they access.
    bool sticky_ = false;
    std::vector<std::string> homeRegions_; ///< Empty: any region.
    friend bool operator==(const Route&, const Route&) = default;
};

/// Limits of a service.
struct ServiceSpec {
    std::string name_;
    /// Requests/s that a cold upstream withstands, over all hosts; 0 is no limit.
    double coldRate_ = 0;
    uint32_t maxConnections_ = 0; ///< Per upstream, over all its callers; 0 is no limit.
    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// A workspace with its keys and limits.
struct WorkspaceSpec {
    std::string name_;
    std::vector<std::string> keys_; ///< API keys.
    int priority_ = 0; ///< 0 is the most urgent; compared before the route's.
    double rate_ = 0; ///< Requests/s over all hosts; 0 is no limit.
    double burst_ = 0; ///< Bucket size in requests.
    std::vector<std::string> homeRegions_; ///< Empty: any region.
    friend bool operator==(const WorkspaceSpec&, const WorkspaceSpec&) = default;
};

/// Size and time limits of the requests of callers.
struct CallerLimits {
    uint32_t headerBytes_ = 16384;
    uint64_t bodyBytes_ = uint64_t { 64 } << 20;
    /// From the first byte of a request to the end of its head.
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15); ///< Longest pause between requests, or within a body.
    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// One published version of the configuration.
struct Configuration {
    uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<ServiceSpec> services_;
    std::vector<WorkspaceSpec> workspaces_;
    CallerLimits limits_;
    /// Parts that this release does not know, and how it treats them; in order of the document.
    std::vector<std::string> notices_ {};
};

/// A configuration with its lookup indexes. Immutable; each request keeps the one under which it was
/// admitted.
class Catalog {
public:
    explicit Catalog(Configuration);
    Catalog(const Catalog&) = delete;
    Catalog& operator=(const Catalog&) = delete;

    const Configuration& configuration() const { return configuration_; }

    /// Returns the route of the host with the longest matching path prefix; nullptr if none matches. `host`
    /// may include a port, `path` a query.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /// Returns the workspace that has the API key; nullptr if none has. Keys are case-sensitive.
    const WorkspaceSpec* findWorkspaceByKey(const std::string& key) const;

    /// Returns nullptr if the service is not configured.
    const ServiceSpec* findService(const std::string& name) const;

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route*>, std::less<>> routes_; ///< By host, longest prefix first.
    std::unordered_map<std::string, const WorkspaceSpec*> keys_; ///< By API key.
    std::unordered_map<std::string, const ServiceSpec*> services_; ///< By name.
};

/// Entry that an upstream wrote for itself in the service directory.
struct UpstreamEntry {
    std::string id_; ///< Usually changes with each start of the process.
    std::string service_;
    Address address_;
    std::string failureDomain_;
    std::string version_;
    uint32_t slots_ = 1; ///< Requests that it runs at once.
    bool leaving_ = false; ///< Whether it takes no new requests.
    /// Remaining time of the cold start when the entry was written. Hosts count it from when they read the
    /// entry.
    Duration remainingColdTime_ {};
    int64_t startedMs_ = 0; ///< Unix milliseconds; distinguishes two runs under one id.
    uint64_t sequence_ = 0; ///< Rises with each write of one run.
    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// Operator's order to move the traffic of a service to a version.
struct RolloutOrder {
    std::string service_;
    std::string version_; ///< Target version.
    Duration duration_ {}; ///< From the start of the ramp to its deadline.
    friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

} // namespace turmericwing::gateway
