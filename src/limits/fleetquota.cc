// Estimate of the fleet's token bucket and admission by probability.
#include "turmericwing/limits/fleetquota.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::limits {

void updateQuota(FleetQuota& quota, const FleetQuotaOptions& options, TimePoint now, BucketLimits fleet,
    double heardFraction, double peerDemand, int64_t peersAdmitted, double peersUnreported)
{
    const double elapsed = std::max(0.0, seconds(now - quota.updated_));
    const bool first = quota.updated_ == TimePoint();
    quota.updated_ = now;
    quota.limits_ = { fleet.rate_ * heardFraction, fleet.burst_ * heardFraction };
    quota.peerDemand_ = peerDemand;
    quota.unreported_ = peersUnreported;
    if (first)
        return;
    if (elapsed > 0) {
        const double weight = 1 - std::exp(-elapsed / options.demandWindowSeconds_);
        quota.demand_ += weight * (quota.arrived_ / elapsed - quota.demand_);
        quota.arrived_ = 0;
    }
    const double full = quota.limits_.burst_ + quota.unreported_;
    quota.level_ = std::min(full, quota.level_ + quota.limits_.rate_ * elapsed);
    quota.level_ = std::min(full, quota.level_ - static_cast<double>(peersAdmitted));
}

double admitProbability(const FleetQuota& quota, const FleetQuotaOptions& options)
{
    const double level = quota.level_ - quota.unreported_;
    const double allowed = quota.limits_.rate_ + level / options.recoveryTimeSeconds_;
    const double demand = quota.demand_ + quota.peerDemand_;
    if (allowed <= 0)
        return 0;
    return demand <= allowed ? 1 : allowed / demand;
}

bool admit(FleetQuota& quota, const FleetQuotaOptions& options, Random& random)
{
    quota.arrived_ += 1;
    if (uniform(random) >= admitProbability(quota, options))
        return false;
    quota.level_ -= 1;
    ++quota.admitted_;
    return true;
}

void cancelAdmission(FleetQuota& quota)
{
    quota.level_ = std::min(quota.limits_.burst_ + quota.unreported_, quota.level_ + 1);
    --quota.admitted_;
}

double recoverySeconds(const FleetQuota& quota)
{
    if (quota.limits_.rate_ <= 0)
        return 3600;
    return std::max(0.0, -quota.level_ / quota.limits_.rate_);
}

} // namespace turmericwing::limits
