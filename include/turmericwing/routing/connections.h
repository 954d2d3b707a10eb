// Rules for the reuse of pooled upstream connections and for the detection of stalled ones.
#pragma once

#include "turmericwing/base/time.h"

namespace turmericwing::routing {

struct ConnectionOptions {
    /// Idle time up to which a connection is reused. An open connection may stop responding while new ones
    /// work, and the probability grows with the idle time.
    Duration maxIdleTime_ = std::chrono::seconds(2);
    Duration stallTimeout_ = std::chrono::seconds(5); ///< Longest time without progress in either direction.
};

/// State of a connection in the pool.
struct PooledConnection {
    TimePoint opened_ {};
    TimePoint idleSince_ {};
    bool outstanding_ = false; ///< A response has not been read completely.
    bool keepAlive_ = true; ///< False once the upstream has asked to close it.
};

/// State common to all connections to one upstream.
struct ConnectionHealth {
    TimePoint suspectBefore_ {}; ///< Connections opened earlier are not reused.
};

/// Whether another request may be sent over the connection.
bool canReuse(const PooledConnection&, const ConnectionHealth&, const ConnectionOptions&, TimePoint now);

/// Time at which a request is aborted unless a byte is transferred before: stallTimeout_ after the last
/// progress, or the request's deadline if that is earlier.
TimePoint stallDeadline(TimePoint lastProgress, TimePoint requestDeadline, const ConnectionOptions&);

/// Records a stalled connection. Connections opened before its last progress may be stalled as well and are
/// no longer reused.
void recordStall(ConnectionHealth&, TimePoint lastProgress);

} // namespace turmericwing::routing
