// The published configuration and the service directory, as the request path uses them.
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

enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of the caller.
};

struct WeightedService {
    std::string service_;
    double weight_ = 1;
    friend auto operator<=>(const WeightedService&, const WeightedService&) = default;
};

struct Route {
    std::string name_;
    std::string host_;
    std::string prefix_; ///< Begins and ends with a slash.
    RequestKind kind_ = RequestKind::NonIdempotent;
    Duration timeout_ {}; ///< Longest time that a request is kept waiting.
    Duration objective_ {}; ///< Time within which an answer has its full value.
    uint32_t attempts_ = 1; ///< Most upstreams for one request.
    int priority_ = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> backends_; ///< At least one.
    bool public_ = false; ///< Needs no key.
    bool sticky_ = false; ///< Upstreams answer sooner for objects that they know.
    std::vector<std::string> homeRegions_; ///< Empty: any region.
    friend bool operator==(const Route&, const Route&) = default;
};

struct ServiceSpec {
    std::string name_;
    double coldRate_ = 0; ///< Requests/s that a cold upstream bears; 0 is no bound.
    uint32_t maxConnections_ = 0; ///< Per upstream, of all callers together; 0 is no bound.
    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

struct WorkspaceSpec {
    std::string name_;
    std::vector<std::string> keys_;
    int priority_ = 0; ///< Goes before the route's.
    double rate_ = 0; ///< Requests/s over all hosts; 0 is no limit.
    double burst_ = 0; ///< Requests.
    std::vector<std::string> homeRegions_; ///< Empty: any region.
    friend bool operator==(const WorkspaceSpec&, const WorkspaceSpec&) = default;
};

/// What a caller may send and how long it may take.
struct CallerLimits {
    uint32_t headerBytes_ = 16384;
    uint64_t bodyBytes_ = uint64_t { 64 } << 20;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);
    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

struct Configuration {
    uint64_t version_ = 0;
    std::vector<Route> routes_;
    std::vector<ServiceSpec> services_;
    std::vector<WorkspaceSpec> workspaces_;
    CallerLimits limits_;
};

/// A configuration with its indexes. Immutable; requests keep the one that they were admitted under.
class Catalog {
public:
    explicit Catalog(Configuration);
    Catalog(const Catalog&) = delete;
    Catalog& operator=(const Catalog&) = delete;

    const Configuration& configuration() const { return configuration_; }

    /// Route with the longest prefix of the path among those of the host; nullptr if there is none. `host`
    /// may carry a port, `path` a query.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /// nullptr if no workspace holds the key.
    const WorkspaceSpec* findKey(const std::string& key) const;

    const ServiceSpec* findService(const std::string& name) const;

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route*>, std::less<>> routes_; ///< By host, longest prefix first.
    std::unordered_map<std::string, const WorkspaceSpec*> keys_;
    std::unordered_map<std::string, const ServiceSpec*> services_;
};

/// An upstream as it entered itself in the service directory.
struct UpstreamEntry {
    std::string id_; ///< Changes with each start, mostly.
    std::string service_;
    Address address_;
    std::string failureDomain_;
    std::string version_;
    uint32_t slots_ = 1;
    bool leaving_ = false;
    Duration coldLeft_ {}; ///< Time for which it stays cold, from the moment it was written.
    int64_t startedMs_ = 0; ///< Unix milliseconds; tells two runs under one id apart.
    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// An operator's order to move a service's traffic to a version.
struct RolloutOrder {
    std::string service_;
    std::string version_;
    Duration time_ {}; ///< From the order to its deadline.
    friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

} // namespace turmericwing::gateway
