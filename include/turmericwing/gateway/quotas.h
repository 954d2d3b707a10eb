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

/// What a peer told last of a workspace.
struct PeerDemand {
    uint32_t admitted_ = 0;
    double rate_ = 0; ///< Requests/s.
    TimePoint until_ {}; ///< End of its life; a peer repeats it before.
};

struct PeerDemands {
    uint64_t incarnation_ = 0;
    uint64_t serial_ = 0; ///< Of the last report that was counted.
    std::unordered_map<uint32_t, PeerDemand> workspaces_; ///< By shortHash.
};

/// What this host told last of a workspace.
struct ToldDemand {
    uint32_t admitted_ = 0;
    double rate_ = 0;
};

struct Quotas {
    limits::FleetQuotaOptions options_ {};
    std::map<std::string, limits::FleetQuota> workspaces_ {};
    std::map<std::string, PeerDemands> counted_ {}; ///< By peer.
    std::map<std::string, ToldDemand> told_ {}; ///< By workspace.
};

/// Admits one request of the workspace or not.
bool takeQuota(Quotas&, const WorkspaceSpec&, Random&);

/// Gives back a request that no upstream has run.
void putBackQuota(Quotas&, const WorkspaceSpec&);

/// Seconds until the workspace is expected to be back within its rate.
double quotaRecovery(const Quotas&, const WorkspaceSpec&);

/// Takes the reports of the peers and lets the rates of the configuration apply.
void updateQuotas(Quotas&, TimePoint now, const Configuration&, const Fleet&);

/// For the host's report: workspaces that changed, and a part of the others, so that a report that is lost is
/// made up for.
std::vector<Demand> demands(Quotas&, uint64_t serial);

/// Whether peers should hear of this host's admissions soon, because a workspace comes near its rate.
bool isPressed(const Quotas&);

} // namespace turmericwing::gateway
