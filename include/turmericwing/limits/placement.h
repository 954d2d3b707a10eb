// Placement of a workspace: which host owns its token bucket, which hosts hold floors and are preferred.
#pragma once

#include "turmericwing/limits/bucket.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwing::limits {

/// A member of the view, as placement sees it.
struct PlacementHost {
    std::string name_;
    std::string region_;
    std::string failureDomain_;
    friend auto operator<=>(const PlacementHost&, const PlacementHost&) = default;
};

struct PlacementOptions {
    size_t preferredHosts_ = 4;
    bool spreadDomains_ = true; ///< Off only in tests.
};

/// Every host derives the same placement from the same members, in any order.
/// Invariants: `owner_` is preferred_[0]; preferred_[1] is in another failure domain of the home region if
/// there is one.
struct Placement {
    std::string owner_; ///< Empty when there are no members.
    std::vector<std::string> preferred_; ///< Order in which lookup names them.
    friend auto operator<=>(const Placement&, const Placement&) = default;
};

Placement placeWorkspace(std::string_view workspace, std::string_view homeRegion,
    std::span<const PlacementHost> members, const PlacementOptions& = {});

/// One bucket of a workspace. A host may hold the main bucket and a floor.
enum class ShareKind { Main, Floor };

struct Share {
    std::string host_;
    ShareKind kind_ = ShareKind::Main;
    BucketLimits limits_;
    friend auto operator<=>(const Share&, const Share&) = default;
};

struct SplitOptions {
    double floorFraction_ = 0.25; ///< Share of the limits for use without the owner.
    /// Tokens. With smaller floors a request is refused while fragments of a token lie in several shares.
    double minFloorBurst_ = 6;
};

/// Splits the limits: the owner holds 1 - floorFraction, and the rest is split evenly over preferred hosts. A
/// floor holds at least minFloorBurst_, so small workspaces have fewer floors or none. The owner is the last
/// to receive a floor, because floors are for the time without it. The limits of all shares sum to at most
/// `limits`.
std::vector<Share> splitLimits(const Placement&, BucketLimits limits, const SplitOptions& = {});

} // namespace turmericwing::limits
