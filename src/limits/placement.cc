// Workspace placement by rendezvous hashing.
#include "turmericwing/limits/placement.h"

#include "turmericwing/base/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericwing::limits {

Placement placeWorkspace(std::string_view workspace, std::string_view homeRegion,
    std::span<const PlacementHost> members, const PlacementOptions& options)
{
    struct Ranked {
        bool home_;
        uint64_t weight_;
        const PlacementHost* host_;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(members.size());
    for (const auto& host : members)
        ranked.push_back({ host.region_ == homeRegion, rendezvousWeight(workspace, host.name_), &host });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        return std::tie(b.home_, b.weight_, a.host_->name_) < std::tie(a.home_, a.weight_, b.host_->name_);
    });
    if (options.spreadDomains_ && !ranked.empty()) {
        const auto other = std::find_if(ranked.begin() + 1, ranked.end(), [&](const Ranked& r) {
            return r.home_ == ranked[0].home_ && r.host_->failureDomain_ != ranked[0].host_->failureDomain_;
        });
        if (other != ranked.end())
            std::rotate(ranked.begin() + 1, other, other + 1);
    }
    Placement placement;
    for (size_t i = 0; i < std::min(options.preferredHosts_, ranked.size()); ++i)
        placement.preferred_.push_back(ranked[i].host_->name_);
    if (!placement.preferred_.empty())
        placement.owner_ = placement.preferred_.front();
    return placement;
}

std::vector<Share> splitLimits(const Placement& placement, BucketLimits limits, const SplitOptions& options)
{
    std::vector<Share> shares;
    if (placement.preferred_.empty())
        return shares;
    const size_t hosts = placement.preferred_.size();
    const size_t maxFloors = static_cast<size_t>(
        std::max(0.0, std::floor(limits.burst_ * options.floorFraction_ / options.minFloorBurst_)));
    // With a single host, a floor would only split the burst into two buckets.
    const size_t floors = hosts < 2 ? 0 : std::min(hosts, maxFloors);
    const double mainFraction = floors == 0 ? 1.0 : 1.0 - options.floorFraction_;
    shares.push_back(
        { placement.owner_, ShareKind::Main, { limits.rate_ * mainFraction, limits.burst_ * mainFraction } });
    for (size_t i = 1; i <= floors; ++i) {
        const double fraction = options.floorFraction_ / static_cast<double>(floors);
        shares.push_back({ placement.preferred_[i % hosts], ShareKind::Floor,
            { limits.rate_ * fraction, limits.burst_ * fraction } });
    }
    return shares;
}

} // namespace turmericwing::limits
