// Records to which upstreams this host has recently sent requests for an object, and which are therefore
// likely to have it cached.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmericwing::routing {

struct ObjectMemoryOptions {
    Duration life_ = std::chrono::seconds(20); ///< Upstreams evict objects that are not requested.
    size_t upstreams_ = 3; ///< Limit per object; the oldest is dropped first.
    size_t objects_ = 20'000; ///< Limits memory; when exceeded, all entries are dropped.
};

/// A recent use of an upstream for an object.
struct UpstreamUse {
    uint64_t upstream_ = 0; ///< Hash of the upstream's id.
    TimePoint until_ {}; ///< Expiry.
};

/// Recent uses of upstreams by object.
struct ObjectMemory {
    ObjectMemoryOptions options_ {};
    /// By hash of the object, most recent last.
    std::unordered_map<uint64_t, std::vector<UpstreamUse>> uses_ {};
};

/// Records that a request for the object was sent to the upstream; both are hashes.
void rememberUse(ObjectMemory&, TimePoint now, uint64_t object, uint64_t upstream);

/// Returns the hashes of the upstreams to which the object was sent within life_.
std::vector<uint64_t> knownUpstreams(const ObjectMemory&, TimePoint now, uint64_t object);

} // namespace turmericwing::routing
