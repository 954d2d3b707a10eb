// Reuse of pooled connections to upstreams, and detection of silent ones.
#pragma once

#include "turmericwing/base/time.h"

namespace turmericwing::routing {

struct ConnectionOptions {
    /// Open connections may become silent while new ones work; the longer a connection idles, the likelier.
    Duration maxIdle_ = std::chrono::seconds(2);
    Duration stall_ = std::chrono::seconds(5); ///< Longest time without a byte in either direction.
};

struct PooledConnection {
    TimePoint opened_ {};
    TimePoint idleSince_ {};
    bool outstanding_ = false; ///< A response, or a part of one, has not been read.
    bool keepAlive_ = true; ///< The upstream did not ask to close it.
};

/// What is known of all connections to one upstream.
struct ConnectionHealth {
    TimePoint distrustBefore_ {}; ///< Connections opened before are closed instead of reused.
};

bool canReuse(const PooledConnection&, const ConnectionHealth&, const ConnectionOptions&, TimePoint now);

/// Time at which a request is aborted, unless a byte moves before.
TimePoint stallDeadline(TimePoint lastProgress, TimePoint requestDeadline, const ConnectionOptions&);

/// Records a stall. Other connections of the same age are suspect as well.
void recordStall(ConnectionHealth&, TimePoint lastProgress);

} // namespace turmericwing::routing
