// Records to which upstreams this host has recently sent requests for an object, and which are therefore
// likely to have it cached.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmericwing::routing {

struct ObjectUseHistoryOptions {
    Duration ttl_ = std::chrono::seconds(20); ///< Upstreams evict objects that are not requested.
    size_t maxUpstreamsPerObject_ = 3; ///< Limit per object; the oldest is dropped first.
    size_t maxObjects_ = 20'000; ///< Limits memory; when exceeded, all entries are dropped.
};

/// A recent use of an upstream for an object.
struct UpstreamUse {
    uint64_t upstream_ = 0; ///< Hash of the upstream's id.
    TimePoint expiresAt_ {}; ///< Expiry.
};

/// Recent uses of upstreams by object.
struct ObjectUseHistory {
    ObjectUseHistoryOptions options_ {};
    /// By hash of the object, most recent last.
    std::unordered_map<uint64_t, std::vector<UpstreamUse>> uses_ {};
};

/// Records that a request for the object was sent to the upstream; both are hashes.
void recordUse(ObjectUseHistory&, TimePoint now, uint64_t object, uint64_t upstream);

/// Returns the hashes of the upstreams to which the object was sent within ttl_.
std::vector<uint64_t> recentUpstreams(const ObjectUseHistory&, TimePoint now, uint64_t object);

} // namespace turmericwing::routing
