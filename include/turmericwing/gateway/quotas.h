// Rates of the workspaces on this host: a bucket each, filled with the host's share of the workspace's rate.
// The shares follow the demand at all hosts, so that callers of one host can use what others leave.
#pragma once

#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/limits/bucket.h"
#include "turmericwing/limits/hostshare.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwing::gateway {

struct QuotaOptions {
    limits::HostShareOptions share_ {};
    Duration demandWindow_ = std::chrono::seconds(2); ///< Time constant of the measured demand.
};

struct WorkspaceQuota {
    limits::Bucket bucket_;
    double asked_ = 0; ///< Requests since the last update.
    double demand_ = 0; ///< Requests/s that callers ask for.
};

struct Quotas {
    QuotaOptions options_ {};
    std::map<std::string, WorkspaceQuota> workspaces_ {};
    TimePoint updated_ {};
};

/// Takes one request of the workspace. False if the host's share is used up.
bool takeQuota(Quotas&, TimePoint now, const WorkspaceSpec&);

/// Gives back a request that no upstream has run.
void putBackQuota(Quotas&, TimePoint now, const WorkspaceSpec&);

/// When the next request can be taken; TimePoint::max() if never.
TimePoint quotaReadyAt(const Quotas&, TimePoint now, const WorkspaceSpec&);

/// Measures the demand since the last update and sets this host's shares.
void updateQuotas(Quotas&, TimePoint now, const Configuration&, const Fleet&);

/// For the host's report.
std::vector<Demand> demands(const Quotas&);

} // namespace turmericwing::gateway
