// Split of a region's requests for one service among the regions that serve it.
//
// A region serves its own callers up to a utilisation that all regions share, and what is beyond goes to
// those with room. The shares follow demand and capacity in bounded steps, so that no burst moves a large
// part of a region's traffic at once. An object's place on the line of shares is its hash: it keeps its
// region, and with it an upstream that knows it, while the shares move.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::routing {

struct RegionSplitOptions {
    /// Utilisation up to which a region keeps its own requests; higher only when all regions are fuller.
    double utilisation_ = 0.75;
    /// Largest part of the traffic that changes its region in a second.
    double stepPerSecond_ = 0.04;
};

/// Room and demand of a region for one service, both in upstream slots.
struct RegionLoad {
    std::string region_;
    double capacity_ = 0;
    double demand_ = 0; ///< Of callers that come in through its hosts.
    friend auto operator<=>(const RegionLoad&, const RegionLoad&) = default;
};

struct RegionShare {
    std::string region_;
    double share_ = 0;
    friend auto operator<=>(const RegionShare&, const RegionShare&) = default;
};

/// Invariant: the shares add up to 1 unless the list is empty. The own region is first, then by name.
using RegionSplit = std::vector<RegionShare>;

/// The split that callers of `own` should have.
RegionSplit targetSplit(const RegionSplitOptions&, const std::string& own, std::vector<RegionLoad>);

/// Moves `current` towards the target, by at most `seconds` x the step. Shares of regions that have no
/// capacity left (absent from the target or with a share of 0 there and in `lost`) move at once.
RegionSplit approachSplit(const RegionSplitOptions&, const RegionSplit& current, const RegionSplit& target,
    const std::vector<std::string>& lost, double seconds);

/// Region at a point in [0, 1) of the line of shares, among those that `homes` lists (empty: all). Empty if
/// there is none.
std::string regionAt(const RegionSplit&, const std::vector<std::string>& homes, double point);

/// Point of an object on the line.
double pointOf(uint64_t objectHash);

} // namespace turmericwing::routing
