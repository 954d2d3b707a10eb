// Simulated upstream: a server of a service with slots, load reports, draining, load shedding and failure
// modes.
#pragma once

#include "server.h"

#include "turmericwing/base/random.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>

namespace turmericwing::standin {

/// Identity, capacity and timing of a simulated upstream.
struct UpstreamOptions {
    std::string name_;
    std::string version_;
    uint32_t slots_ = 3;
    uint32_t connections_ = 0; ///< Maximum open connections; 0 means no limit.
    Duration serviceTime_ = std::chrono::milliseconds(5);
    double errorShare_ = 0; ///< Share of requests that get a 500 response, 0 to 1.
    size_t bodyBytes_ = 0; ///< Padding added to each response body.
    uint32_t coldRequests_ = 0; ///< Number of first requests that take coldFactor_ times the service time.
    double coldFactor_ = 1;
    uint64_t seed_ = 1;
};

/// Failure modes. Shares are probabilities in [0, 1].
struct UpstreamFaults {
    double failShare_ = 0; ///< Respond with 500.
    double slowFactor_ = 1; ///< Factor on the service time; 1 is normal.
    std::string path_; ///< Restricts failShare_ and slowFactor_ to paths with this prefix.
    double shortBody_ = 0; ///< Close the connection in the middle of the body.
    Duration late_ {}; ///< Respond this much later, past any deadline.
    double wrongId_ = 0; ///< Echo the id of another request.
    std::string crashMarker_; ///< A request with this text in path, headers or body breaks its connection.
    bool crashAll_ = false; ///< A crash breaks all connections of the upstream.
    bool silentAll_ = false; ///< Respond to no request.
    /// Fixed number of running requests in load reports; -1 reports the actual number.
    int reportedLoad_ = -1;
    int reportedHealth_ = -1; ///< Fixed status of health checks; -1 reports the actual status.
};

/// Counters of an upstream or a group of upstreams.
struct UpstreamStats {
    uint64_t requests_ = 0; ///< Received, without control requests.
    uint64_t executed_ = 0; ///< Admitted to a slot.
    uint64_t overSlots_ = 0; ///< Arrived while all slots were busy.
    uint64_t maxConcurrent_ = 0; ///< Most concurrent requests, including those beyond the slots.
    uint64_t refusedDraining_ = 0; ///< Rejected while draining.
    uint64_t deadlineExceeded_ = 0; ///< Rejected or ended with 504 at their deadline.
    uint64_t cancelled_ = 0; ///< The caller closed the connection during execution.
    uint64_t errors_ = 0; ///< Requests that got a 500 response.
    uint64_t crashes_ = 0; ///< Requests with the crash marker.
    uint64_t authorizationSeen_ = 0; ///< Requests with an Authorization header.
    uint64_t connectionsRefused_ = 0; ///< Connections closed at the limit or during shutdown.
    std::map<std::string, uint64_t> byKey_; ///< Executions by "workspace/idempotency key".
    std::map<std::string, uint64_t> byRequestId_; ///< Executions by request id.

    /// Adds the counters of another upstream; maxConcurrent_ becomes the larger of the two.
    void add(const UpstreamStats&);
};

class Upstream;

/// Upstreams of one process. Control requests with `scope=all` apply to all of them.
class UpstreamGroup {
public:
    UpstreamGroup();
    ~UpstreamGroup();

    /// Starts an upstream. Port 0 picks a free one. Returns the port, 0 on failure.
    int add(const UpstreamOptions&, const std::string& ip, int port);
    void setFaults(size_t index, const UpstreamFaults&);
    /// Connections open at the time of the call stop responding; new ones work.
    void silenceConnections(size_t index);
    void setDraining(size_t index, bool);
    UpstreamStats stats() const;
    UpstreamStats stats(size_t index) const;

private:
    friend class Upstream;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
};

} // namespace turmericwing::standin
