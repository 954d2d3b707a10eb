// Distribution of a region's requests for one service over the regions that serve it.
//
// A region serves its own callers up to a target utilisation common to all regions; the excess goes to
// regions with spare capacity. The shares follow demand and capacity in bounded steps, so that a burst does
// not move a large part of a region's traffic at once. Objects are mapped to regions by the position of their
// hash in the cumulative shares, so most objects keep their region, and an upstream that has them cached,
// while the shares change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace turmericwing::routing {

struct RegionSplitOptions {
    /// Utilisation, as a fraction of capacity, up to which a region keeps its own requests. Raised to the
    /// mean utilisation of all regions if that is higher.
    double targetUtilisation_ = 0.75;
    /// How much longer the mean wait for a slot may be in a region than elsewhere, as a multiple of the time
    /// for which a request holds one, for the region to keep its own requests. Upstreams with few slots
    /// exceed it below targetUtilisation_.
    double maxExtraWait_ = std::numeric_limits<double>::infinity();
    double minUtilisation_ = 0.3; ///< Kept by a region however long its requests wait.
    /// Largest fraction of the traffic that changes its region per second.
    double stepPerSecond_ = 0.04;
};

/// Capacity and demand of a region for one service, both in upstream slots.
struct RegionLoad {
    std::string region_;
    double capacity_ = 0;
    double demand_ = 0; ///< Demand of the callers that connect to hosts of this region.
    double upstreamSlots_ = 0; ///< Mean slots of its upstreams; 0 if unknown.
    friend auto operator<=>(const RegionLoad&, const RegionLoad&) = default;
};

/// Fraction of the requests, in [0, 1], that goes to a region.
struct RegionShare {
    std::string region_;
    double share_ = 0;
    friend auto operator<=>(const RegionShare&, const RegionShare&) = default;
};

/// Invariant: the shares add up to 1 unless the list is empty. Ordered by name, the host's own region first.
using RegionSplit = std::vector<RegionShare>;

/// Utilisation from minUtilisation_ to targetUtilisation_ at which the mean wait for a slot is about
/// maxExtraWait_ longer than at the utilisation `elsewhere`, if requests arrive at random. In coarse steps,
/// so that hosts that measure slightly different times agree. targetUtilisation_ if the slots are unknown.
double utilisationWithinWait(const RegionSplitOptions&, double upstreamSlots, double elsewhere);

/// Returns the split for callers of the region `own` at these loads; empty without any capacity.
RegionSplit targetSplit(const RegionSplitOptions&, const std::string& own, std::vector<RegionLoad>);

/// Returns `current` moved towards `target` by at most `seconds` x stepPerSecond_. The shares of regions
/// that are absent from the target or listed in `lost` move at once.
/// Returns the target if no other share is left.
RegionSplit stepSplitTowards(const RegionSplitOptions&, const RegionSplit& current, const RegionSplit& target,
    const std::vector<std::string>& lost, double seconds);

/// Region at a position in [0, 1), restricted to the regions in `homes` unless that is empty. The first
/// region has the positions below its share; those above it are distributed over the others independently of
/// that share, so that a change of it moves no position between two others. Returns an empty string if no
/// region is left.
std::string regionAtPosition(const RegionSplit&, const std::vector<std::string>& homes, double point);

/// Maps the hash of an object to a position in [0, 1).
double splitPosition(uint64_t objectHash);

} // namespace turmericwing::routing
