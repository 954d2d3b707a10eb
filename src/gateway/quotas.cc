// Rates of the workspaces on this host.
#include "turmericwing/gateway/quotas.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::gateway {

namespace detail {

    bool isLimited(const WorkspaceSpec& workspace) { return workspace.rate_ > 0; }

    struct PeerSums {
        double demand_ = 0; ///< Requests/s.
        int64_t admitted_ = 0; ///< Since the last update; taken back ones count as negative.
    };

    constexpr Duration demandLife = std::chrono::seconds(15); ///< A peer repeats its demands sooner.
    constexpr uint64_t repeatEvery = 8; ///< Reports in which each workspace stands at least once.
    constexpr double demandChange = 0.1; ///< Relative change of a demand that is told at once.
    constexpr double pressedLevel = 0.5; ///< Part of the burst below which a workspace is near its rate.

    /// Takes what is new in a peer's report.
    void countReport(PeerDemands& counted, const HostReport& report, TimePoint now,
        std::unordered_map<uint32_t, PeerSums>& sums)
    {
        if (counted.incarnation_ != report.incarnation_)
            counted = { report.incarnation_, 0, {} };
        if (counted.serial_ == report.serial_)
            return;
        counted.serial_ = report.serial_;
        for (const Demand& demand : report.demands_) {
            const auto [known, added] = counted.workspaces_.try_emplace(demand.workspace_);
            // The first report of a peer tells what it admitted before, which is over.
            if (!added)
                sums[demand.workspace_].admitted_
                    += static_cast<int32_t>(demand.admitted_ - known->second.admitted_);
            known->second = { demand.admitted_, demand.rate_, now + demandLife };
        }
    }

    /// Sums over the peers by workspace; what is new of each peer counts once.
    std::unordered_map<uint32_t, PeerSums> sumReports(Quotas& quotas, const Fleet& fleet, TimePoint now)
    {
        std::unordered_map<uint32_t, PeerSums> sums;
        for (const auto& [name, peer] : fleet.peers_) {
            if (!isHeard(peer, now))
                continue;
            PeerDemands& counted = quotas.counted_[name];
            countReport(counted, peer.report_, now, sums);
            for (const auto& [workspace, demand] : counted.workspaces_) {
                if (now < demand.until_)
                    sums[workspace].demand_ += demand.rate_;
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

std::vector<Demand> demands(Quotas& quotas, uint64_t serial)
{
    std::vector<Demand> list;
    uint64_t index = serial;
    for (const auto& [name, quota] : quotas.workspaces_) {
        ToldDemand& told = quotas.told_[name];
        const bool changed = quota.admitted_ != told.admitted_
            || std::abs(quota.demand_ - told.rate_) > detail::demandChange * std::max(1.0, told.rate_);
        const bool repeated
            = ++index % detail::repeatEvery == 0 && (quota.admitted_ > 0 || quota.demand_ > 0);
        if (!changed && !repeated)
            continue;
        told = { quota.admitted_, quota.demand_ };
        list.push_back({ shortHash(name), quota.demand_, quota.admitted_ });
    }
    return list;
}

bool isPressed(const Quotas& quotas)
{
    return std::any_of(quotas.workspaces_.begin(), quotas.workspaces_.end(), [](const auto& entry) {
        const limits::FleetQuota& quota = entry.second;
        return quota.demand_ + quota.peerDemand_ > quota.limits_.rate_
            || quota.level_ < detail::pressedLevel * quota.limits_.burst_;
    });
}

} // namespace turmericwing::gateway
