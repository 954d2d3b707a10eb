// What hosts tell each other, several times a second, in one datagram: that they live, what they have in
// flight, what callers ask of them, and what they saw of rollouts and crashes. Losing any of them is
// harmless, because each holds the whole current state of its sender.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"
#include "turmericwing/rollout/ramp.h"
#include "turmericwing/routing/quarantine.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace turmericwing::gateway {

/// Requests of the sender that run at one upstream.
struct InFlight {
    uint32_t upstream_ = 0; ///< shortHash of its id.
    uint32_t count_ = 0;
    friend auto operator<=>(const InFlight&, const InFlight&) = default;
};

/// Requests/s that callers of a workspace ask of the sender.
struct Demand {
    uint32_t workspace_ = 0; ///< shortHash of its name.
    double rate_ = 0;
    uint32_t admitted_ = 0; ///< Since the sender's start; wraps around.
    friend auto operator<=>(const Demand&, const Demand&) = default;
};

/// Demand for a service at the sender, and where its region's requests go.
struct ServiceReport {
    uint32_t service_ = 0; ///< shortHash of its name.
    double slots_ = 0; ///< Slots that the sender's callers need in any region: requests/s x seconds.
    std::vector<std::pair<uint32_t, double>> split_; ///< Share by shortHash of the region.
    std::vector<std::pair<uint32_t, double>>
        bound_; ///< Slots by shortHash of the only region that may run them.
    friend bool operator==(const ServiceReport&, const ServiceReport&) = default;
};

/// A rollout as the sender knows it, with its own counts.
struct RampReport {
    rollout::Ramp ramp_;
    uint64_t order_ = 0; ///< Version of the row of the operator's order.
    bool bad_ = false; ///< The sender has found the version bad.
    rollout::RampCounts counts_;
    friend bool operator==(const RampReport&, const RampReport&) = default;
};

struct HostReport {
    std::string name_;
    uint64_t incarnation_ = 0; ///< Drawn at start.
    uint64_t serial_ = 0; ///< Rises with each report of an incarnation.
    Address callerAddress_;
    Address peerAddress_;
    std::string region_;
    std::string failureDomain_;
    bool ready_ = false;
    bool leaving_ = false;
    bool reachesStore_ = false;
    uint32_t storeHeldMs_ = 0; ///< Time for which the store has answered the sender without a long gap.
    std::vector<InFlight> inFlight_;
    std::vector<Demand> demands_;
    std::vector<ServiceReport> services_;
    std::vector<RampReport> ramps_;
    std::vector<routing::CrashReport> crashes_; ///< Of the last seconds.
    friend bool operator==(const HostReport&, const HostReport&) = default;
};

/// Hash under which upstreams and workspaces stand in reports.
uint32_t shortHash(const std::string&);

/// As CBOR.
std::string encodeReport(const HostReport&);

/// Errors: Invalid. Bytes may come from anyone on the network.
Result<HostReport> decodeReport(const std::string& bytes);

} // namespace turmericwing::gateway
