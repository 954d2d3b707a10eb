// Rates of the workspaces on this host.
#include "turmericwing/gateway/quotas.h"

namespace turmericwing::gateway {

namespace detail {

    bool isLimited(const WorkspaceSpec& workspace) { return workspace.rate_ > 0; }

    struct PeerSums {
        double demand_ = 0; ///< Requests/s.
        int64_t admitted_ = 0; ///< Since the last update; taken back ones count as negative.
    };

    /// Sums of the peers' reports by workspace; what is new of each peer counts once.
    std::unordered_map<uint32_t, PeerSums> sumReports(Quotas& quotas, const Fleet& fleet, TimePoint now)
    {
        std::unordered_map<uint32_t, PeerSums> sums;
        for (const auto& [name, peer] : fleet.peers_) {
            if (!isHeard(peer, now))
                continue;
            PeerAdmissions& counted = quotas.counted_[name];
            const bool sameRun = counted.incarnation_ == peer.report_.incarnation_;
            if (!sameRun)
                counted = { peer.report_.incarnation_, {} };
            for (const Demand& demand : peer.report_.demands_) {
                PeerSums& sum = sums[demand.workspace_];
                sum.demand_ += demand.rate_;
                const auto [known, added]
                    = counted.admitted_.try_emplace(demand.workspace_, demand.admitted_);
                // The first report of a peer tells what it admitted before, which is over.
                if (!added)
                    sum.admitted_ += static_cast<int32_t>(demand.admitted_ - known->second);
                known->second = demand.admitted_;
            }
        }
        return sums;
    }

} // namespace detail

bool takeQuota(Quotas& quotas, const WorkspaceSpec& workspace, Random& random)
{
    if (!detail::isLimited(workspace))
        return true;
    return limits::admit(quotas.workspaces_[workspace.name_], quotas.options_, random);
}

void putBackQuota(Quotas& quotas, const WorkspaceSpec& workspace)
{
    if (detail::isLimited(workspace))
        limits::putBackAdmission(quotas.workspaces_[workspace.name_]);
}

double quotaRecovery(const Quotas& quotas, const WorkspaceSpec& workspace)
{
    const auto quota = quotas.workspaces_.find(workspace.name_);
    return quota == quotas.workspaces_.end() ? 0 : limits::recoverySeconds(quota->second);
}

void updateQuotas(Quotas& quotas, TimePoint now, const Configuration& configuration, const Fleet& fleet)
{
    const auto sums = detail::sumReports(quotas, fleet, now);
    const double hosts = 1 + static_cast<double>(fleet.peers_.size());
    const double heardPart = 1 - static_cast<double>(unheardCount(fleet, now)) / hosts;
    for (const WorkspaceSpec& workspace : configuration.workspaces_) {
        if (!detail::isLimited(workspace))
            continue;
        const auto found = sums.find(shortHash(workspace.name_));
        const detail::PeerSums sum = found == sums.end() ? detail::PeerSums() : found->second;
        limits::updateQuota(quotas.workspaces_[workspace.name_], quotas.options_, now,
            { workspace.rate_, workspace.burst_ }, heardPart, sum.demand_, sum.admitted_);
    }
}

std::vector<Demand> demands(const Quotas& quotas)
{
    std::vector<Demand> list;
    for (const auto& [name, quota] : quotas.workspaces_) {
        if (quota.admitted_ > 0 || quota.demand_ > 0)
            list.push_back({ shortHash(name), quota.demand_, quota.admitted_ });
    }
    return list;
}

} // namespace turmericwing::gateway
