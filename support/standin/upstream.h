// Upstream stand-in: a server of a service with slots, load reports, draining, shedding and failure modes.
#pragma once

#include "server.h"

#include "turmericwing/base/random.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>

namespace turmericwing::standin {

struct UpstreamOptions {
    std::string name_;
    std::string version_;
    uint32_t slots_ = 3;
    uint32_t connections_ = 0; ///< 0 means no limit.
    Duration serviceTime_ = std::chrono::milliseconds(5);
    double errorShare_ = 0; ///< Share of requests answered with 500.
    size_t bodyBytes_ = 0; ///< Padding added to each response body.
    uint32_t coldRequests_ = 0; ///< The first requests, which take coldFactor_ times the service time.
    double coldFactor_ = 1;
    uint64_t seed_ = 1;
};

/// Failure modes. Shares are probabilities in [0, 1].
struct UpstreamFaults {
    double fail_ = 0; ///< Answer 500.
    double slow_ = 1; ///< Factor on the service time.
    std::string path_; ///< Restricts fail_ and slow_ to paths with this prefix.
    double shortBody_ = 0; ///< End the connection in the middle of the body.
    Duration late_ {}; ///< Respond this much later, past any deadline.
    double wrongId_ = 0; ///< Echo the id of another request.
    std::string crashMarker_; ///< A request with this text in path, headers or body breaks its connection.
    bool crashAll_ = false; ///< A crash breaks all connections of the upstream.
    bool silentAll_ = false; ///< Respond to no request.
    int reportedLoad_ = -1; ///< Fixed number of running requests in load reports; -1 reports the truth.
    int reportedHealth_ = -1; ///< Fixed status of health checks; -1 reports the truth.
};

/// What an upstream or a group of upstreams did.
struct UpstreamStats {
    uint64_t requests_ = 0; ///< Received, without control requests.
    uint64_t executed_ = 0; ///< Admitted to a slot.
    uint64_t overSlots_ = 0; ///< Arrived while all slots were busy.
    uint64_t mostAtOnce_ = 0; ///< Most requests at once, including those beyond the slots.
    uint64_t refusedDraining_ = 0;
    uint64_t deadlineExceeded_ = 0;
    uint64_t cancelled_ = 0; ///< The caller closed the connection during execution.
    uint64_t errors_ = 0; ///< Answered with 500.
    uint64_t crashes_ = 0;
    uint64_t authorizationSeen_ = 0; ///< Requests with an Authorization header.
    uint64_t connectionsRefused_ = 0;
    std::map<std::string, uint64_t> byKey_; ///< Executions by "workspace/idempotency key".
    std::map<std::string, uint64_t> byRequestId_; ///< Executions by request id.

    void add(const UpstreamStats&);
};

class Upstream;

/// Upstreams on consecutive ports. Control requests with `scope=all` concern all of them.
class UpstreamGroup {
public:
    UpstreamGroup();
    ~UpstreamGroup();

    /// Port 0 picks a free one. Returns the port, 0 on failure.
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
