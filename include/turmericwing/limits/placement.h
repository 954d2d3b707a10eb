// Placement of a workspace: which hosts are preferred for its requests, and how its limits are divided into
// token buckets. The owner holds the main bucket; floors are small buckets on other preferred hosts.
#pragma once

#include "turmericwing/limits/bucket.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::limits {

/// Properties of a member of the view that placement depends on.
struct PlacementHost {
    std::string name_;
    std::string region_;
    std::string failureDomain_;
    friend auto operator<=>(const PlacementHost&, const PlacementHost&) = default;
};

struct PlacementOptions {
    size_t preferredHosts_ = 4; ///< Maximum length of Placement::preferred_.
    bool spreadDomains_ = true; ///< False only in tests: failure domains are ignored.
};

/// Placement of one workspace. Invariants: `owner_` is preferred_[0]; preferred_[1] is in another failure
/// domain of the home region if there is one.
struct Placement {
    std::string owner_; ///< Empty when there are no members.
    std::vector<std::string> preferred_; ///< In the order in which lookup returns them.
    friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// Ranks the members by rendezvous hashing, hosts of the home region first. Every host derives the same
/// placement from the same members, in any order. Returns an empty placement if there are no members.
Placement placeWorkspace(std::string_view workspace, std::string_view homeRegion,
    std::span<const PlacementHost> members, const PlacementOptions& = {});

/// Kind of a token bucket. A host may hold both the main bucket and a floor of a workspace.
enum class ShareKind { Main, Floor };

/// Part of a workspace's limits that is assigned to one host as a token bucket.
struct Share {
    std::string host_;
    ShareKind kind_ = ShareKind::Main;
    BucketLimits limits_;
    friend auto operator<=>(const Share&, const Share&) = default;
};

struct SplitOptions {
    /// Fraction of the limits that floors hold, for use while the owner is down.
    double floorFraction_ = 0.25;
    /// Tokens. With smaller floors a request is refused although several shares together hold a whole token.
    double minFloorBurst_ = 6;
};

/// Splits `limits` into shares: the owner holds 1 - floorFraction_, and the rest is split evenly over
/// preferred hosts. The burst of a floor is at least minFloorBurst_, so small workspaces have fewer floors or
/// none. The owner is the last to receive a floor, because floors serve while it is down. The limits of all
/// shares sum to at most `limits`. Returns no shares if the placement is empty.
std::vector<Share> splitLimits(const Placement&, BucketLimits limits, const SplitOptions& = {});

} // namespace turmericwing::limits
