// Assignment of client blocks to sites: rendezvous hashing with bounded loads, and capped steps towards it.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/model/objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::steering {

struct AssignOptions {
    double loadBound_ = 1.25; ///< Largest load of a site as a multiple of its share by capacity.
    Duration downHold_ = std::chrono::seconds(3); ///< A site is unreachable this long before blocks leave it.
    Duration upHold_ = std::chrono::seconds(60); ///< And reachable this long before they return.
    double stepShare_ = 0.02; ///< Largest share of all blocks that moves in one step.
    Duration stepInterval_ = std::chrono::seconds(1);
    bool keepHealthy_ = true; ///< Tests switch it off to show that it is needed.
};

/// Index of a site in ObjectSet::sites_; noSite when no site is up.
using SiteIndex = uint16_t;
inline constexpr SiteIndex noSite = UINT16_MAX;

/// Assigns every client block of the set. `up` has one entry for each site. A pure function of its arguments:
/// blocks are first placed as if all sites were up, then only those of sites that are down are placed again,
/// so no block of another site moves. A block prefers the sites of its region and leaves them only when all
/// are at their bound; the bound yields only when no site that is up has room.
std::vector<SiteIndex> assignBlocks(
    const model::ObjectSet&, const AssignOptions&, const std::vector<bool>& up);

/// Health of a site with its hold time.
struct SiteHealth {
    bool up_ = true; ///< What assignment uses.
    bool observed_ = true; ///< Last observation.
    TimePoint effectiveAt_; ///< When observed_ becomes up_, if it differs and persists.
    friend bool operator==(const SiteHealth&, const SiteHealth&) = default;
};

/// Progress towards the target. Invariant: current_ has one entry for each client block.
struct SteeringState {
    std::vector<SiteHealth> health_;
    std::vector<SiteIndex> target_;
    std::vector<SiteIndex> current_;
    TimePoint nextStepAt_;
};

/// State for a first configuration: all sites up, all blocks at their target.
SteeringState startSteering(const model::ObjectSet&, const AssignOptions&);

/// State for a new configuration: a block that both contain stays at its site, by name, until a step moves
/// it.
SteeringState changeConfiguration(const SteeringState&, const model::ObjectSet& before,
    const model::ObjectSet& after, const AssignOptions&);

/// Applies observations (one for each site), recomputes the target if a site's health changed, and moves at
/// most one step of blocks; those on sites that are down go first. Returns the number of blocks moved.
size_t advanceSteering(SteeringState&, const model::ObjectSet&, const AssignOptions&,
    const std::vector<bool>& observed, TimePoint now);

} // namespace turmericwing::steering
