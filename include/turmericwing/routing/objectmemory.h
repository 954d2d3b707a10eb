// Which upstreams this host has lately sent the requests for an object to.
#pragma once

#include "turmericwing/base/time.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmericwing::routing {

struct ObjectMemoryOptions {
    Duration life_ = std::chrono::seconds(20); ///< Upstreams forget an object that is not asked for.
    size_t upstreams_ = 3; ///< Per object; the oldest is forgotten first.
    size_t objects_ = 20'000; ///< Bounds memory; beyond it everything is forgotten.
};

struct ObjectUse {
    uint64_t upstream_ = 0; ///< Hash of its id.
    TimePoint until_ {};
};

struct ObjectMemory {
    ObjectMemoryOptions options_ {};
    std::unordered_map<uint64_t, std::vector<ObjectUse>> uses_ {}; ///< By hash of the object, latest last.
};

void rememberUse(ObjectMemory&, TimePoint now, uint64_t object, uint64_t upstream);

/// Hashes of the upstreams that know the object.
std::vector<uint64_t> knownUpstreams(const ObjectMemory&, TimePoint now, uint64_t object);

} // namespace turmericwing::routing
