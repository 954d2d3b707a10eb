// Rates of the workspaces on this host, from its own admissions and the reports of its peers.
#pragma once

#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/limits/fleetquota.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

/// What a peer had admitted at its last report that was counted.
struct PeerAdmissions {
    uint64_t incarnation_ = 0;
    std::unordered_map<uint32_t, uint32_t> admitted_; ///< By shortHash of the workspace.
};

struct Quotas {
    limits::FleetQuotaOptions options_ {};
    std::map<std::string, limits::FleetQuota> workspaces_ {};
    std::map<std::string, PeerAdmissions> counted_ {}; ///< By peer.
};

/// Admits one request of the workspace or not.
bool takeQuota(Quotas&, const WorkspaceSpec&, Random&);

/// Gives back a request that no upstream has run.
void putBackQuota(Quotas&, const WorkspaceSpec&);

/// Seconds until the workspace is expected to be back within its rate.
double quotaRecovery(const Quotas&, const WorkspaceSpec&);

/// Takes the reports of the peers and lets the rates of the configuration apply.
void updateQuotas(Quotas&, TimePoint now, const Configuration&, const Fleet&);

/// For the host's report.
std::vector<Demand> demands(const Quotas&);

} // namespace turmericwing::gateway
