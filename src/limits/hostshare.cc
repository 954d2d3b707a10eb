// Split of a rate among hosts by demand.
#include "turmericwing/limits/hostshare.h"

#include <algorithm>

namespace turmericwing::limits {

namespace detail {

    /// Part of its guarantee that a host with this demand keeps.
    double keptBy(const HostShareOptions& options, double guarantee, double demand)
    {
        const double wanted = std::max(demand * options.headroom_, guarantee * options.keptPart_);
        return std::min(guarantee, wanted);
    }

} // namespace detail

double hostShare(const HostShareOptions& options, double rate, double ownDemand,
    const std::vector<double>& heardDemands, size_t unheard)
{
    const double hosts = static_cast<double>(1 + heardDemands.size() + unheard);
    const double guarantee = rate / hosts;
    const auto excess = [&](double demand) { return std::max(0.0, demand * options.headroom_ - guarantee); };

    double spare = guarantee - detail::keptBy(options, guarantee, ownDemand);
    double totalExcess = excess(ownDemand);
    for (const double demand : heardDemands) {
        spare += guarantee - detail::keptBy(options, guarantee, demand);
        totalExcess += excess(demand);
    }
    // Without a borrower a host keeps its whole guarantee, so that a sudden rise meets no refusal.
    if (totalExcess <= 0)
        return guarantee;
    const double borrowed = spare * excess(ownDemand) / totalExcess;
    return detail::keptBy(options, guarantee, ownDemand) + borrowed;
}

} // namespace turmericwing::limits
