// Ageing of the load that upstreams report.
#include "turmericwing/routing/reportedload.h"

#include <algorithm>
#include <cmath>

namespace turmericwing::routing {

namespace detail {

    /// Fraction of its weight that a report received then has now.
    double remainingWeight(TimePoint receivedAt, Duration halfLife, TimePoint now)
    {
        const double age = std::max(0.0, seconds(now - receivedAt));
        return std::exp2(-age / seconds(halfLife));
    }

    bool hasReport(const ReportedLoad& load) { return load.receivedAt_ != TimePoint {}; }

} // namespace detail

bool applyReport(ReportedLoad& load, const LoadReport& report, TimePoint sentAt, TimePoint receivedAt,
    uint32_t knownInFlight)
{
    if (detail::hasReport(load) && sentAt < load.sentAt_)
        return false;
    const uint64_t present = uint64_t { report.running_ } + report.waiting_;
    const uint64_t hidden = present > knownInFlight ? present - knownInFlight : 0;
    load = { .report_ = report,
        .sentAt_ = sentAt,
        .receivedAt_ = receivedAt,
        .hidden_ = static_cast<uint32_t>(std::min<uint64_t>(hidden, UINT32_MAX)) };
    return true;
}

double answeredWorkFactor(const std::optional<LoadReport>& report, const ReportedLoadOptions& options)
{
    constexpr double usualPercent = 100;
    if (!report || !report->workPercent_)
        return 1;
    return std::clamp(*report->workPercent_ / usualPercent, 1.0, options.maxWorkFactor_);
}

double workFactor(const ReportedLoad& load, const ReportedLoadOptions& options, TimePoint now)
{
    const double reported = answeredWorkFactor(load.report_, options);
    return 1 + (reported - 1) * detail::remainingWeight(load.receivedAt_, options.workHalfLife_, now);
}

double hiddenLoad(const ReportedLoad& load, const ReportedLoadOptions& options, TimePoint now)
{
    // An upstream that does not say how long work takes shares its machine, and its slots, with nobody.
    if (!load.report_.workPercent_)
        return 0;
    return load.hidden_ * detail::remainingWeight(load.receivedAt_, options.hiddenHalfLife_, now);
}

} // namespace turmericwing::routing
