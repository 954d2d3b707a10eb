// Rate limits of the workspaces, enforced on each host from its own admissions and the reports of its peers.
#pragma once

#include "turmericwing/gateway/catalog.h"
#include "turmericwing/gateway/fleet.h"
#include "turmericwing/limits/fleetquota.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwing::gateway {

/// Last reported demand of a workspace at a peer.
struct PeerDemand {
    uint32_t admitted_ = 0; ///< Requests since the peer's start; wraps around.
    double rate_ = 0; ///< Requests/s.
    double admittedRate_ = 0; ///< Admissions/s between the peer's last two reports.
    TimePoint expiresAt_ {}; ///< When the demand no longer counts; a live peer repeats it earlier.
};

/// Demands at one peer, from all reports of its incarnation.
struct PeerDemands {
    uint64_t incarnation_ = 0; ///< Incarnation of the peer's process.
    uint64_t serial_ = 0; ///< Sequence number of the last report used.
    TimePoint reportedAt_ {}; ///< When that report was used.
    std::unordered_map<uint32_t, PeerDemand> workspaces_; ///< By shortHash of the name.
};

/// Demand of a workspace as this host last reported it.
struct ReportedDemand {
    uint32_t admitted_ = 0; ///< Requests since this host's start; wraps around.
    double rate_ = 0; ///< Requests/s.
};

/// Demand of a workspace at the peers in this host's failure domain.
struct DomainDemand {
    uint32_t admitted_ = 0; ///< Requests of which this host has heard since its start; wraps around.
    double rate_ = 0; ///< Requests/s.
};

/// Receivers that get the same messages. Each stream has its own record of what was reported in it.
enum class ReportStream {
    Hosts, ///< Reports of this host.
    NearDomains, ///< Summaries for failure domains of this host's region.
    FarDomains, ///< Summaries for failure domains of other regions.
};

using ReportedDemands = std::map<std::string, ReportedDemand>; ///< By workspace.

/// Rate limiting state of all limited workspaces.
struct Quotas {
    limits::FleetQuotaOptions options_ {};
    std::map<std::string, limits::FleetQuota> workspaces_ {}; ///< By name.
    std::map<std::string, PeerDemands> peerDemands_ {}; ///< From reports, by name of the peer.
    std::map<std::string, PeerDemands> summaryDemands_ {}; ///< From summaries, by failure domain.
    std::unordered_map<uint32_t, DomainDemand> domainDemands_ {}; ///< By shortHash of the workspace's name.
    std::map<ReportStream, ReportedDemands> reported_ {};
};

/// Returns whether a request of the workspace is admitted, and counts it if so.
bool admitWithinQuota(Quotas&, const WorkspaceSpec&, Random&);

/// Probability with which the next request of the workspace is admitted.
double quotaAdmitProbability(const Quotas&, const WorkspaceSpec&);

/// Returns the quota of an admitted request that no upstream has run.
void refundQuota(Quotas&, const WorkspaceSpec&);

/// Seconds until the workspace is expected to be within its rate; 0 if it is not limited.
double quotaRecoverySeconds(const Quotas&, const WorkspaceSpec&);

/// Adds the admissions and demands that peers reported, and applies the limits of the configuration.
void updateQuotas(Quotas&, TimePoint now, const Configuration&, const Fleet&);

/// Demands for the next message of a stream: workspaces whose demand changed, and the others in turn, so that
/// receivers recover from lost messages. Summaries hold the demands of the failure domain, reports those of
/// this host. Records what was reported.
std::vector<Demand> takeDemandsToReport(Quotas&, uint64_t sequence, ReportStream = ReportStream::Hosts);

/// Whether a workspace is near its rate, so that peers need this host's admissions sooner than by the next
/// regular report.
bool isNearLimit(const Quotas&);

} // namespace turmericwing::gateway
