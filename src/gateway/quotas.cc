// Rate limits of the workspaces.
#include "turmericwing/gateway/quotas.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::gateway {

namespace detail {

    bool isLimited(const WorkspaceSpec& workspace) { return workspace.rate_ > 0; }

    /// Sums over the peers for one workspace.
    struct PeerSums {
        double demand_ = 0; ///< Requests/s.
        int64_t admitted_ = 0; ///< Since the last update; refunds count as negative.
        double unreported_ = 0; ///< Expected admissions since the peers' last reports.
    };

    /// Longer than a peer takes to repeat its demands.
    constexpr Duration peerDemandLifetime = std::chrono::seconds(15);
    /// Successive messages of a stream of which at least one includes a given active workspace.
    constexpr uint64_t repeatIntervalReports = 8;
    constexpr double minReportGapSeconds = 0.1; ///< Keeps the rate finite for reports that come together.
    constexpr double minDemandChange = 0.1; ///< Relative change of a demand that is reported at once.
    /// Fraction of the burst below which a workspace is near its rate.
    constexpr double nearLimitFraction = 0.5;

    using SumsByWorkspace = std::unordered_map<uint32_t, PeerSums>; ///< By shortHash of the name.

    /// Adds what is new in a peer's report to the sums. A report that was taken before changes nothing.
    void countReport(PeerDemands& peerDemands, const HostReport& report, TimePoint now, SumsByWorkspace& sums)
    {
        // Another aggregator of a failure domain counts from its own start, too. What it counted before its
        // first summary here may have been heard from its predecessor.
        if (peerDemands.incarnation_ != report.incarnation_)
            peerDemands = { report.incarnation_, 0, {}, {} };
        if (peerDemands.serial_ == report.sequence_)
            return;
        const double gap = std::max(minReportGapSeconds, seconds(now - peerDemands.reportedAt_));
        peerDemands.serial_ = report.sequence_;
        peerDemands.reportedAt_ = now;
        // A report names the workspaces whose count has changed, and repeats some others.
        for (auto& [workspace, demand] : peerDemands.workspaces_)
            demand.admittedRate_ = 0;
        for (const Demand& demand : report.demands_) {
            const auto [known, added] = peerDemands.workspaces_.try_emplace(demand.workspace_);
            // The count in a peer's first report covers earlier admissions, which no longer matter.
            const int32_t admitted
                = added ? 0 : static_cast<int32_t>(demand.admitted_ - known->second.admitted_);
            sums[demand.workspace_].admitted_ += admitted;
            // No more than the peer's demand: a report after lost ones covers a longer time than the gap.
            const double admittedRate
                = std::min(std::max(0, admitted) / gap, std::max(demand.rate_, known->second.rate_));
            known->second = { demand.admitted_, demand.rate_, admittedRate, now + peerDemandLifetime };
        }
    }

    /// Adds the new admissions, the demands and the expected further admissions of a sender to the sums.
    void addPeer(PeerDemands& peerDemands, const HostReport& report, TimePoint now, SumsByWorkspace& sums)
    {
        countReport(peerDemands, report, now, sums);
        const double age = seconds(now - peerDemands.reportedAt_);
        for (const auto& [workspace, demand] : peerDemands.workspaces_) {
            if (now >= demand.expiresAt_)
                continue;
            PeerSums& sum = sums[workspace];
            sum.demand_ += demand.rate_;
            sum.unreported_ += demand.admittedRate_ * age;
        }
    }

    /// Keeps what the summaries of this host's failure domain have to say about its peers there.
    void recordDomainDemands(Quotas& quotas, const SumsByWorkspace& sums)
    {
        for (auto& [workspace, demand] : quotas.domainDemands_)
            demand.rate_ = 0;
        for (const auto& [workspace, sum] : sums) {
            DomainDemand& demand = quotas.domainDemands_[workspace];
            demand.admitted_ += static_cast<uint32_t>(sum.admitted_);
            demand.rate_ = sum.demand_;
        }
    }

    /// Demand and new admissions at all heard peers.
    SumsByWorkspace sumReports(Quotas& quotas, const Fleet& fleet, TimePoint now)
    {
        SumsByWorkspace ownDomain;
        SumsByWorkspace others;
        // The summary counts for a summarised peer. Its own count must not be continued later, as the
        // difference would be counted twice.
        for (const auto& [name, peer] : fleet.peers_) {
            if (isSummarised(fleet, peer, now)) {
                quotas.peerDemands_.erase(name);
                continue;
            }
            if (!isAlive(peer, now))
                continue;
            const bool isOwnDomain = peer.report_.failureDomain_ == fleet.failureDomain_;
            addPeer(quotas.peerDemands_[name], peer.report_, now, isOwnDomain ? ownDomain : others);
        }
        for (const auto& [failureDomain, view] : fleet.domains_) {
            if (now < view.aliveUntil_)
                addPeer(quotas.summaryDemands_[failureDomain], view.summary_.sums_, now, others);
        }
        recordDomainDemands(quotas, ownDomain);
        for (const auto& [workspace, sum] : ownDomain) {
            others[workspace].demand_ += sum.demand_;
            others[workspace].admitted_ += sum.admitted_;
            others[workspace].unreported_ += sum.unreported_;
        }
        return others;
    }

} // namespace detail

bool admitWithinQuota(Quotas& quotas, const WorkspaceSpec& workspace, Random& random)
{
    if (!detail::isLimited(workspace))
        return true;
    return limits::admit(quotas.workspaces_[workspace.name_], quotas.options_, random);
}

double quotaAdmitProbability(const Quotas& quotas, const WorkspaceSpec& workspace)
{
    const auto quota = quotas.workspaces_.find(workspace.name_);
    if (!detail::isLimited(workspace) || quota == quotas.workspaces_.end())
        return 1;
    return limits::admitProbability(quota->second, quotas.options_);
}

void refundQuota(Quotas& quotas, const WorkspaceSpec& workspace)
{
    if (detail::isLimited(workspace))
        limits::cancelAdmission(quotas.workspaces_[workspace.name_]);
}

double quotaRecoverySeconds(const Quotas& quotas, const WorkspaceSpec& workspace)
{
    const auto quota = quotas.workspaces_.find(workspace.name_);
    return quota == quotas.workspaces_.end() ? 0 : limits::recoverySeconds(quota->second);
}

void updateQuotas(Quotas& quotas, TimePoint now, const Configuration& configuration, const Fleet& fleet)
{
    const auto sums = detail::sumReports(quotas, fleet, now);
    const double hosts = 1 + static_cast<double>(fleet.peers_.size());
    const double heardFraction = 1 - static_cast<double>(deadPeerCount(fleet, now)) / hosts;
    for (const WorkspaceSpec& workspace : configuration.workspaces_) {
        if (!detail::isLimited(workspace))
            continue;
        const auto found = sums.find(shortHash(workspace.name_));
        const detail::PeerSums sum = found == sums.end() ? detail::PeerSums() : found->second;
        limits::updateQuota(quotas.workspaces_[workspace.name_], quotas.options_, now,
            { workspace.rate_, workspace.burst_ }, heardFraction, sum.demand_, sum.admitted_,
            sum.unreported_);
    }
}

std::vector<Demand> takeDemandsToReport(Quotas& quotas, uint64_t sequence, ReportStream stream)
{
    std::vector<Demand> list;
    uint64_t index = sequence;
    ReportedDemands& reportedDemands = quotas.reported_[stream];
    for (const auto& [name, quota] : quotas.workspaces_) {
        ReportedDemand& reported = reportedDemands[name];
        Demand demand { shortHash(name), quota.demand_, quota.admitted_ };
        const auto peers = quotas.domainDemands_.find(demand.workspace_);
        if (stream != ReportStream::Hosts && peers != quotas.domainDemands_.end()) {
            demand.rate_ += peers->second.rate_;
            demand.admitted_ += peers->second.admitted_;
        }
        const bool changed = demand.admitted_ != reported.admitted_
            || std::abs(demand.rate_ - reported.rate_)
                > detail::minDemandChange * std::max(1.0, reported.rate_);
        const bool repeated
            = ++index % detail::repeatIntervalReports == 0 && (demand.admitted_ > 0 || demand.rate_ > 0);
        if (!changed && !repeated)
            continue;
        reported = { demand.admitted_, demand.rate_ };
        list.push_back(demand);
    }
    return list;
}

bool isNearLimit(const Quotas& quotas)
{
    return std::any_of(quotas.workspaces_.begin(), quotas.workspaces_.end(), [](const auto& entry) {
        const limits::FleetQuota& quota = entry.second;
        return quota.demand_ + quota.peerDemand_ > quota.limits_.rate_
            || quota.level_ < detail::nearLimitFraction * quota.limits_.burst_;
    });
}

} // namespace turmericwing::gateway
