// Assignment of client blocks (address prefixes) to sites by rendezvous hashing with bounded loads, and
// gradual, rate-limited transitions between assignments.
#pragma once

#include "turmericwing/base/time.h"
#include "turmericwing/model/objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericwing::steering {

struct AssignOptions {
    double maxLoadFactor_ = 1.25; ///< Limit of a site's blocks, as a multiple of its share by capacity.
    /// Time for which a site has to be unreachable before blocks leave it.
    Duration downHoldTime_ = std::chrono::seconds(3);
    /// Time for which it has to be reachable again before blocks return.
    Duration upHoldTime_ = std::chrono::seconds(60);
    double maxMovedFraction_ = 0.02; ///< Largest fraction of all blocks that moves in one step.
    Duration stepInterval_ = std::chrono::seconds(1); ///< Shortest time between two steps.
    /// Keeps the blocks of sites that are up in place. False only for tests that show why it is needed.
    bool keepHealthyBlocks_ = true;
};

/// Index of a site in ObjectSet::sites_, or noSite if no site is up.
using SiteIndex = uint16_t;
inline constexpr SiteIndex noSite = UINT16_MAX;

/// Returns a site for every client block of the set. `up` has one entry per site. A pure function of its
/// arguments: blocks are first placed as if all sites were up, then only the blocks of sites that are down
/// are placed again, so that no block of another site moves. A block is assigned outside its region only if
/// all sites there are at their load limit, and the limit is exceeded only if every site that is up has
/// reached it.
std::vector<SiteIndex> assignBlocks(
    const model::ObjectSet&, const AssignOptions&, const std::vector<bool>& up);

/// Health of a site with hysteresis.
struct SiteHealth {
    bool up_ = true; ///< Health that the assignment uses.
    bool observed_ = true; ///< Last observation.
    TimePoint effectiveAt_; ///< Time at which up_ takes the value of observed_, if it still differs.
    friend bool operator==(const SiteHealth&, const SiteHealth&) = default;
};

/// Current and target assignment. Invariant: current_ has one entry per client block.
struct SteeringState {
    std::vector<SiteHealth> health_;
    std::vector<SiteIndex> target_;
    std::vector<SiteIndex> current_;
    TimePoint nextStepAt_; ///< Earliest time of the next step.
};

/// Returns the state for the first configuration: all sites are up, all blocks at their target.
SteeringState startSteering(const model::ObjectSet&, const AssignOptions&);

/// Returns the state for a new configuration. A block that both configurations contain stays at its site,
/// which is matched by name, until a step moves it.
SteeringState changeConfiguration(const SteeringState&, const model::ObjectSet& before,
    const model::ObjectSet& after, const AssignOptions&);

/// Applies health observations (one per site), recomputes the target if a site's health changed, and moves
/// the blocks of at most one step, those on sites that are down first. Returns the number of moved blocks.
size_t advanceSteering(SteeringState&, const model::ObjectSet&, const AssignOptions&,
    const std::vector<bool>& observed, TimePoint now);

} // namespace turmericwing::steering
