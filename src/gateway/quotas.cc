// Rates of the workspaces on this host.
#include "turmericwing/gateway/quotas.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::gateway {

namespace detail {

    bool isLimited(const WorkspaceSpec& workspace) { return workspace.rate_ > 0; }

    /// Demands of a workspace at the hosts that are heard.
    std::vector<double> heardDemands(const std::vector<const HostReport*>& reports, uint32_t workspace)
    {
        std::vector<double> demands;
        demands.reserve(reports.size());
        for (const HostReport* report : reports) {
            const auto found = std::find_if(report->demands_.begin(), report->demands_.end(),
                [&](const Demand& demand) { return demand.workspace_ == workspace; });
            demands.push_back(found == report->demands_.end() ? 0 : found->rate_);
        }
        return demands;
    }

    void measure(WorkspaceQuota& quota, double elapsed, double window)
    {
        if (elapsed <= 0)
            return;
        const double weight = 1 - std::exp(-elapsed / window);
        quota.demand_ += weight * (quota.asked_ / elapsed - quota.demand_);
        quota.asked_ = 0;
    }

} // namespace detail

bool takeQuota(Quotas& quotas, TimePoint now, const WorkspaceSpec& workspace)
{
    if (!detail::isLimited(workspace))
        return true;
    WorkspaceQuota& quota = quotas.workspaces_[workspace.name_];
    quota.asked_ += 1;
    return limits::takeTokens(quota.bucket_, 1, now);
}

void putBackQuota(Quotas& quotas, TimePoint now, const WorkspaceSpec& workspace)
{
    if (detail::isLimited(workspace))
        limits::putBackTokens(quotas.workspaces_[workspace.name_].bucket_, 1, now);
}

TimePoint quotaReadyAt(const Quotas& quotas, TimePoint now, const WorkspaceSpec& workspace)
{
    const auto quota = quotas.workspaces_.find(workspace.name_);
    return quota == quotas.workspaces_.end() ? now : limits::tokensReadyAt(quota->second.bucket_, 1, now);
}

void updateQuotas(Quotas& quotas, TimePoint now, const Configuration& configuration, const Fleet& fleet)
{
    const double elapsed = seconds(now - quotas.updated_);
    quotas.updated_ = now;
    const auto reports = heardReports(fleet, now);
    const size_t unheard = fleet.peers_.size() - reports.size();
    for (const WorkspaceSpec& workspace : configuration.workspaces_) {
        if (!detail::isLimited(workspace))
            continue;
        const auto [entry, added] = quotas.workspaces_.try_emplace(workspace.name_);
        WorkspaceQuota& quota = entry->second;
        detail::measure(quota, elapsed, seconds(quotas.options_.demandWindow_));
        const auto heard = detail::heardDemands(reports, shortHash(workspace.name_));
        const double share
            = limits::hostShare(quotas.options_.share_, workspace.rate_, quota.demand_, heard, unheard);
        const limits::BucketLimits limits { share,
            std::max(1.0, workspace.burst_ * share / workspace.rate_) };
        // A new bucket starts empty: a host that restarts must not spend its burst again.
        if (added)
            quota.bucket_ = limits::makeEmptyBucket(limits, now - std::chrono::milliseconds(200));
        else
            limits::setLimits(quota.bucket_, limits, now);
    }
}

std::vector<Demand> demands(const Quotas& quotas)
{
    std::vector<Demand> list;
    for (const auto& [name, quota] : quotas.workspaces_) {
        if (quota.demand_ > 0.05)
            list.push_back({ shortHash(name), quota.demand_ });
    }
    return list;
}

} // namespace turmericwing::gateway
